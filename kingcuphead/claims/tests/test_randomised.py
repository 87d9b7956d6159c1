"""Randomised runs of concurrent attempts at the same calls.

By default the runs are derandomised: the same examples each time. For a longer test
set the number of runs and a seed, for example
``CLAIM_RUNS=20000 pytest kingcuphead/claims/tests/test_randomised.py
--hypothesis-seed=1``.
"""

import os

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from kingcuphead.claims import ClaimEntry
from kingcuphead.claims.tests._fleet import OPEN, Attempt, Fleet, NetworkResult, Stage
from kingcuphead.verdict import Execution

SHORT_RUNS = 200
STEPS = 60
RUNS = int(os.environ.get("CLAIM_RUNS", SHORT_RUNS))

KEYS = ("k1", "k2")
INDEX = st.integers(min_value=0, max_value=11)
AWAITING_REPLY = (Stage.CLAIMING, Stage.CLOSING)


class RacingAttempts(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.in_doubt: list[ClaimEntry] = []

    def select_one(self, index: int, *stages: Stage) -> Attempt:
        candidates = self.fleet.select(*stages)
        return candidates[index % len(candidates)]

    @rule(key=st.sampled_from(("k1", *KEYS)))
    def start_attempt(self, key):
        self.fleet.start_attempt(key)

    @precondition(lambda self: self.fleet.select(*AWAITING_REPLY))
    @rule(index=INDEX, result=st.sampled_from(NetworkResult))
    def execute(self, index, result):
        self.fleet.execute(self.select_one(index, *AWAITING_REPLY), result)

    @precondition(lambda self: self.fleet.select(*AWAITING_REPLY))
    @rule(index=INDEX)
    def execute_without_fault(self, index):
        self.fleet.execute(
            self.select_one(index, *AWAITING_REPLY), NetworkResult.REPLIED
        )

    @precondition(lambda self: self.fleet.select(Stage.CLAIMING))
    @rule(index=INDEX)
    def time_out(self, index):
        self.fleet.time_out(self.select_one(index, Stage.CLAIMING))

    @precondition(lambda self: self.fleet.delayed)
    @rule(index=INDEX)
    def apply_delayed(self, index):
        self.fleet.apply_delayed(index % len(self.fleet.delayed))

    @precondition(lambda self: self.fleet.select(Stage.HOLDING))
    @rule(index=INDEX, reaches_target=st.booleans())
    def dispatch(self, index, reaches_target):
        self.fleet.dispatch(self.select_one(index, Stage.HOLDING), reaches_target)

    @precondition(lambda self: self.fleet.select(Stage.HOLDING))
    @rule(index=INDEX)
    def abandon(self, index):
        self.fleet.abandon(self.select_one(index, Stage.HOLDING))

    @precondition(lambda self: self.fleet.select(Stage.DISPATCHED))
    @rule(index=INDEX, has_answer=st.booleans())
    def end_dispatch(self, index, has_answer):
        self.fleet.end_dispatch(self.select_one(index, Stage.DISPATCHED), has_answer)

    @precondition(lambda self: self.fleet.select(*OPEN))
    @rule(index=INDEX)
    def crash(self, index):
        self.fleet.crash(self.select_one(index, *OPEN))

    @precondition(lambda self: self.fleet.find_in_doubt())
    @rule()
    def list_claims_in_doubt(self):
        self.in_doubt = self.fleet.find_in_doubt()

    @precondition(lambda self: self.in_doubt)
    @rule()
    def resolve_claim(self):
        self.fleet.resolve_claim(self.in_doubt.pop())

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @invariant()
    def invariants_hold(self):
        self.fleet.check_invariants()

    def teardown(self):
        self.fleet.drain()
        self.fleet.check_invariants()
        self.check_retries()
        self.fleet.check_invariants()

    def check_retries(self):
        """Resolve claims in doubt; check that only undispatched calls are granted."""
        for entry in self.fleet.find_in_doubt():
            self.fleet.resolve_claim(entry)
        for key in KEYS:
            attempt = self.fleet.start_attempt(key)
            self.fleet.execute(attempt, NetworkResult.REPLIED)
            if attempt.pending_effect is not None:
                self.fleet.execute(attempt, NetworkResult.REPLIED)
            if key not in self.fleet.dispatched:
                assert attempt.stage is Stage.HOLDING, attempt
            elif attempt.replayed is None:
                assert attempt.verdict is not None
                assert attempt.verdict.execution is not Execution.NOT_RUN


TestRacingAttempts = RacingAttempts.TestCase
TestRacingAttempts.settings = settings(
    max_examples=RUNS,
    stateful_step_count=STEPS,
    derandomize="CLAIM_RUNS" not in os.environ,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
