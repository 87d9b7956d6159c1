import pytest

from kingcuphead.dispatch import HedgeDenial
from kingcuphead.entry._metrics import DaemonMetrics
from kingcuphead.forwarding import HedgeRecord
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
