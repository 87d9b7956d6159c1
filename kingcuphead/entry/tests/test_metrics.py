import asyncio

import pytest

from kingcuphead.admission import AdmissionGate, QueueBounds
from kingcuphead.capacity import CapacityFigures, OwnLoad
from kingcuphead.dispatch import HedgeDenial
from kingcuphead.entry._metrics import DaemonMetrics
from kingcuphead.forwarding import HedgeRecord
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    Harness,
    make_request,
    make_route,
    run as run_forwarder,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.forwarding.tests.test_admission import NoRoom
from kingcuphead.resumption import BegunStream
from kingcuphead.targets import Availability, Target, TargetDirectory


class TestAttemptResults:
    def test_a_broken_attempt_and_its_retry_are_counted_apart(self):
        metrics = DaemonMetrics()

        async def scenario(harness):
            harness.first.script = [[ScriptedTarget.RESET]]
            harness.second.script = [harness.second.answer()]
            await harness.serve(make_request(IDEMPOTENT))
            context, refusal = harness.ended[0]
            metrics.record(context, refusal)

        run_forwarder([make_route(IDEMPOTENT)], scenario)
        lines = metrics.render().decode().splitlines()
        name = "kingcuphead_attempt_results_total"
        assert f'{name}{{result="broken",service="pool"}} 1.0' in lines
        assert f'{name}{{result="answered",service="pool"}} 1.0' in lines


class TestTargetMetrics:
    def test_the_gauges_follow_the_directory(self):
        """An operator sees by them which daemons know of an evacuation."""
        metrics, directory = DaemonMetrics(), TargetDirectory()
        metrics.observe_targets(directory)
        target = Target(
            "t1", "pool", "10.0.0.1:80", "z", 4, Availability.READY, 1, cold_left=5.0
        )
        list(directory.put(target))
        list(directory.replace_evacuated_zones(["z", "unknown"]))
        metrics.record_cold_denial(target)
        lines = metrics.render().decode().splitlines()
        assert "kingcuphead_evacuated_zones 1.0" in lines
        assert "kingcuphead_cold_targets 1.0" in lines
        assert 'kingcuphead_cold_denials_total{service="pool"} 1.0' in lines


class TestStreamOrigins:
    def test_searches_are_counted_by_how_they_ended(self):
        """An operator sees by them whether streams outlast their daemons."""
        metrics = DaemonMetrics()

        async def scenario(harness):
            metrics.resumption.observe(harness.resumption)
            await harness.resumption.synchronise()
            harness.resumption.record_start(BegunStream("r0", "pool", "v1"))
            await harness.resumption.find_origin("r0", ["pool"])
            await harness.resumption.find_origin("r1", ["nowhere"])
            await harness.resumption.origins.save(["pool"])

        run_forwarder([make_route(IDEMPOTENT)], scenario)
        lines = metrics.render().decode().splitlines()
        name = "kingcuphead_stream_origins_total"
        assert f'{name}{{source="known"}} 1.0' in lines
        assert f'{name}{{source="unknown"}} 1.0' in lines
        assert "kingcuphead_saved_origins 1.0" in lines
        assert "kingcuphead_unsaved_origins 0.0" in lines


class TestQueue:
    def test_waits_and_refusals_are_counted_by_service(self):
        metrics = DaemonMetrics()
        metrics.admission = AdmissionGate(NoRoom(), QueueBounds())

        async def scenario():
            route = make_route(IDEMPOTENT, timeout=0.2)
            async with Harness([route], admission=metrics.admission) as harness:
                serving = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
                await asyncio.sleep(0.05)
                assert 'queue_length{service="pool"} 1.0' in metrics.render().decode()
                await serving
                metrics.record(*harness.ended[0])

        asyncio.run(scenario())
        text = metrics.render().decode()
        labels = '{reason="deadline",service="pool"}'
        assert f"kingcuphead_queue_refusals_total{labels} 1.0" in text
        assert 'kingcuphead_queue_seconds_count{service="pool"} 1.0' in text
        assert 'kingcuphead_queue_length{service="pool"} 0.0' in text


class TestCapacity:
    def test_loads_and_totals_are_shown(self):
        metrics = DaemonMetrics()
        metrics.record_capacity(CapacityFigures(OwnLoad(0.9, 0.2, 0.1), 3, 1.5))
        metrics.record_capacity(CapacityFigures(OwnLoad(0.5, 0.25, 0.0), 7, 2.0))
        lines = metrics.render().decode().splitlines()
        assert 'kingcuphead_load{resource="link"} 0.5' in lines
        assert 'kingcuphead_load{resource="processor"} 0.25' in lines
        assert 'kingcuphead_load{resource="event_loop"} 0.0' in lines
        assert "kingcuphead_shed_connections_total 7.0" in lines
        assert "kingcuphead_shed_seconds_total 2.0" in lines


class TestHedges:
    @pytest.mark.parametrize(
        ("hedge", "series"),
        [
            (HedgeRecord(), ['hedges_total{event="started",service="pool"}']),
            (
                HedgeRecord(is_won=True, is_cancelled=True),
                [
                    'hedges_total{event="cancelled",service="pool"}',
                    'hedges_total{event="started",service="pool"}',
                    'hedges_total{event="won",service="pool"}',
                ],
            ),
            (
                HedgeRecord(HedgeDenial.BUSY),
                ['hedge_denials_total{reason="busy",service="pool"}'],
            ),
        ],
    )
    def test_second_attempts_are_counted_by_what_became_of_them(self, hedge, series):
        metrics = DaemonMetrics()

        async def scenario(harness):
            harness.first.script = [harness.first.answer()]
            await harness.serve(make_request(IDEMPOTENT))
            context, refusal = harness.ended[0]
            context.hedge = hedge
            metrics.record(context, refusal)

        run_forwarder([make_route(IDEMPOTENT)], scenario)
        lines = metrics.render().decode().splitlines()
        counted = [line for line in lines if line.startswith("kingcuphead_hedge")]
        totals = sorted(line for line in counted if "_total{" in line)
        assert totals == [f"kingcuphead_{name} 1.0" for name in series]
