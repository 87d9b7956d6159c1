import pytest

from kingcuphead.bench._budgets_audit import audit_fleet
from kingcuphead.bench._budgets_fleet import Fleet
from kingcuphead.budgets import (
    BillSafe,
    FaultReported,
    HoldGranted,
    HoldRefused,
    HoldRequested,
    HoldSettled,
    Settings,
    ShardVersion,
    ShutdownStarted,
    build_creation,
)
from kingcuphead.records import BudgetPolicy
from kingcuphead.verdict import Execution, Reason

LIMIT = 1000


class Scenario:
    """A simulated fleet of three daemons in three zones, with one budget."""

    def __init__(self):
        self.reports = {}
        self.faults = []
        self.fleet = Fleet(Settings(shards=1), 1, self.record_report)
        self.fleet.table.commit(build_creation(ShardVersion(0), "b", LIMIT).ok)
        self.daemons = [
            self.fleet.start_daemon(f"daemon-{zone}", zone, "north") for zone in "abc"
        ]

    def record_report(self, _, report):
        match report:
            case FaultReported():
                self.faults.append(report.kind)
            case _:
                self.reports.setdefault(report.hold_id, []).append(report)

    def hold(self, index, hold_id, tokens, request_id=None, seconds=0.45):
        request = HoldRequested(
            hold_id=hold_id,
            request_id=request_id or hold_id,
            budget="b",
            organisation="o",
            tokens=tokens,
            policy=BudgetPolicy.STRICT,
            deadline=self.fleet.now + 2.0,
        )
        self.fleet.process_input(self.daemons[index], request)
        self.fleet.advance(seconds)

    def settle(self, index, hold_id, used, seconds=0.5):
        message = HoldSettled(hold_id, 0, used, True, 0.0)
        self.fleet.process_input(self.daemons[index], message)
        self.fleet.advance(seconds)

    def is_granted(self, hold_id):
        return HoldGranted(hold_id) in self.reports.get(hold_id, [])

    def is_safe(self, hold_id):
        return BillSafe(hold_id) in self.reports.get(hold_id, [])

    def get_verdict(self, hold_id):
        (report,) = self.reports[hold_id]
        assert isinstance(report, HoldRefused)
        return report.verdict


@pytest.fixture
def scenario():
    return Scenario()


class TestLedger:
    def test_idle_credit_of_other_daemons_is_recalled(self, scenario):
        for index in range(3):
            scenario.hold(index, f"h{index}", 200)
            scenario.settle(index, f"h{index}", 10)
        scenario.hold(1, "all", LIMIT - 30)
        assert scenario.is_granted("all")

    def test_hold_beyond_the_limit_is_refused_as_exhausted(self, scenario):
        scenario.hold(0, "first", LIMIT)
        scenario.hold(1, "second", 1)
        verdict = scenario.get_verdict("second")
        assert verdict.reason is Reason.BUDGET_EXHAUSTED
        assert verdict.execution is Execution.NOT_RUN

    def test_credit_of_a_killed_daemon_is_refused_as_unavailable(self, scenario):
        scenario.hold(0, "lost", 600)
        scenario.fleet.kill(scenario.daemons[0])
        scenario.fleet.announce()
        scenario.hold(1, "next", 600, seconds=2.1)
        assert scenario.get_verdict("next").reason is Reason.CREDIT_UNAVAILABLE
        assert audit_fleet(scenario.fleet).budgets["b"].granted >= 600

    def test_a_retry_through_another_daemon_is_billed_once(self, scenario):
        scenario.hold(0, "one", 400, "request")
        scenario.hold(1, "two", 400, "request")
        scenario.settle(0, "one", 50)
        scenario.settle(1, "two", 60)
        records = audit_fleet(scenario.fleet)
        assert [bill.tokens for bill in records.bills] == [50]
        scenario.hold(2, "rest", LIMIT - 50)
        assert scenario.is_granted("rest")

    def test_usage_above_the_bound_is_clamped_and_reported(self, scenario):
        scenario.hold(0, "h", 100)
        scenario.settle(0, "h", 150)
        assert scenario.faults == ["usage_above_bound"]
        assert audit_fleet(scenario.fleet).budgets["b"].settled == 100

    def test_free_credit_is_granted_during_an_outage(self, scenario):
        scenario.hold(0, "before", 300)
        scenario.settle(0, "before", 10, seconds=0.02)
        scenario.fleet.faults.outage = True
        scenario.hold(0, "within", 100, seconds=0.02)
        scenario.hold(0, "beyond", 900, seconds=3.0)
        scenario.settle(0, "within", 100, seconds=1.0)
        assert scenario.is_granted("within")
        assert scenario.is_safe("within")
        assert scenario.get_verdict("beyond").reason is Reason.CREDIT_UNAVAILABLE
        scenario.fleet.faults.outage = False
        scenario.fleet.advance(10.0)
        assert audit_fleet(scenario.fleet).budgets["b"].settled == 110

    def test_shutdown_returns_every_grant(self, scenario):
        scenario.hold(0, "h", 300)
        scenario.settle(0, "h", 10)
        for daemon in scenario.daemons:
            scenario.fleet.process_input(daemon, ShutdownStarted())
        scenario.fleet.advance(5.0)
        assert audit_fleet(scenario.fleet).budgets["b"].unallocated == LIMIT - 10
        assert all(daemon.ledger.finished for daemon in scenario.daemons)
