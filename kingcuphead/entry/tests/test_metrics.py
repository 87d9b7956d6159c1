from kingcuphead.capacity import CapacityFigures, OwnLoad
from kingcuphead.entry._metrics import DaemonMetrics
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    make_request,
    make_route,
    run as run_forwarder,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget


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
