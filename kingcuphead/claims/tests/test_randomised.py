"""Randomised runs of racing attempts.

The short form is the same on every run. For a long one, give a seed and the
number of runs, for example
``CLAIM_RUNS=20000 pytest kingcuphead/claims/tests/test_randomised.py
--hypothesis-seed=1``.
"""

import os

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from kingcuphead.claims import ClaimEntry
from kingcuphead.claims.tests._fleet import OPEN, Attempt, Fate, Fleet, Stage
from kingcuphead.verdict import Execution

SHORT_RUNS = 200
STEPS = 60
RUNS = int(os.environ.get("CLAIM_RUNS", SHORT_RUNS))

KEYS = ("k1", "k2")
SOME = st.integers(min_value=0, max_value=11)
WAITING = (Stage.CLAIMING, Stage.CLOSING)


class RacingAttempts(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.seen: list[ClaimEntry] = []

    def pick(self, number: int, *stages: Stage) -> Attempt:
        candidates = self.fleet.select(*stages)
        return candidates[number % len(candidates)]

    @rule(key=st.sampled_from(("k1", *KEYS)))
    def arrive(self, key):
        self.fleet.arrive(key)

    @precondition(lambda self: self.fleet.select(*WAITING))
    @rule(number=SOME, fate=st.sampled_from(Fate))
    def answer(self, number, fate):
        self.fleet.answer(self.pick(number, *WAITING), fate)

    @precondition(lambda self: self.fleet.select(*WAITING))
    @rule(number=SOME)
    def answer_truly(self, number):
        self.fleet.answer(self.pick(number, *WAITING), Fate.ANSWERED)

    @precondition(lambda self: self.fleet.select(Stage.CLAIMING))
    @rule(number=SOME)
    def time_out(self, number):
        self.fleet.time_out(self.pick(number, Stage.CLAIMING))

    @precondition(lambda self: self.fleet.delayed)
    @rule(number=SOME)
    def land(self, number):
        self.fleet.land(number % len(self.fleet.delayed))

    @precondition(lambda self: self.fleet.select(Stage.HOLDING))
    @rule(number=SOME, reaches_target=st.booleans())
    def send(self, number, reaches_target):
        self.fleet.send(self.pick(number, Stage.HOLDING), reaches_target)

    @precondition(lambda self: self.fleet.select(Stage.HOLDING))
    @rule(number=SOME)
    def abandon(self, number):
        self.fleet.abandon(self.pick(number, Stage.HOLDING))

    @precondition(lambda self: self.fleet.select(Stage.DISPATCHED))
    @rule(number=SOME, has_answer=st.booleans())
    def finish(self, number, has_answer):
        self.fleet.finish(self.pick(number, Stage.DISPATCHED), has_answer)

    @precondition(lambda self: self.fleet.select(*OPEN))
    @rule(number=SOME)
    def crash(self, number):
        self.fleet.crash(self.pick(number, *OPEN))

    @precondition(lambda self: self.fleet.find_doubtful())
    @rule()
    def look_at_doubtful_claims(self):
        self.seen = self.fleet.find_doubtful()

    @precondition(lambda self: self.seen)
    @rule()
    def settle_claim(self):
        self.fleet.settle_claim(self.seen.pop())

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @invariant()
    def promises_hold(self):
        self.fleet.check()

    def teardown(self):
        self.fleet.settle()
        self.fleet.check()
        self.check_that_a_retry_is_truthful()
        self.fleet.check()

    def check_that_a_retry_is_truthful(self):
        """A call that nothing sent can be retried, after a crash once settled."""
        for entry in self.fleet.find_doubtful():
            self.fleet.settle_claim(entry)
        for key in KEYS:
            attempt = self.fleet.arrive(key)
            self.fleet.answer(attempt, Fate.ANSWERED)
            if attempt.query is not None:
                self.fleet.answer(attempt, Fate.ANSWERED)
            if key not in self.fleet.sent:
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
