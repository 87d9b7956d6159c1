import random

from hypothesis import given, settings as configure, strategies as st

from kingcuphead.placement import AnswerResult, ProbeRequested, StateSource, TargetState
from kingcuphead.queueing import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    DaemonsCounted,
    LoadReported,
    PeerCrashReported,
    PeerQuarantineReported,
    PeerReleaseReported,
    ProbeAnswered,
    QuarantineReleased,
    QueueingSettings,
    RequestPlaced,
    RequestRejected,
    RequestWithdrawn,
    SchedulerSettings,
    TargetReported,
    Ticked,
)
from kingcuphead.queueing.tests.factories import (
    CLASSES,
    build_configuration,
    build_request,
    build_scheduler,
    build_target,
)
from kingcuphead.verdict import Execution

TARGETS = ("t1", "t2", "t3")
STEPS = (
    *("arrive",) * 6,
    *("start", "finish") * 2,
    *("fail", "withdraw", "report", "load", "tick", "probe", "peers", "configure"),
    "gossip",
)


class SchedulerModel:
    """Sends random messages to a scheduler and checks its effects.

    It detects a request that is placed or rejected twice or never, placed on a
    leaving target, or placed above a target's limit.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        settings = SchedulerSettings(queueing=QueueingSettings(capacity=12))
        targets = [build_target(name, concurrency=2) for name in TARGETS]
        self.scheduler = build_scheduler(*targets, settings=settings)
        self.now = 0.0
        self.revision = 1
        self.open: dict[str, str] = {}
        self.placed: dict[str, str] = {}
        self.leaving: set[str] = set()
        self.probes: list[str] = []

    def run(self, steps: int) -> None:
        for number in range(steps):
            self.now += self.rng.expovariate(4.0)
            getattr(self, self.rng.choice(STEPS))(number)
        self.drain()

    def send(self, message: object) -> None:
        for effect in self.scheduler.receive(message, self.now):  # type: ignore[arg-type]
            match effect:
                case RequestPlaced(request_id, target):
                    assert request_id in self.open, "placed without an arrival"
                    assert target not in self.leaving, "placed on a leaving target"
                    del self.open[request_id]
                    self.placed[request_id] = target
                case RequestRejected(request_id, verdict):
                    assert request_id in self.open, "rejected without an arrival"
                    assert verdict.execution.value == self.open.pop(request_id)
                case ProbeRequested(target, _):
                    self.probes.append(target)
        running = list(self.placed.values())
        assert all(running.count(name) <= 2 for name in TARGETS), "limit exceeded"

    def arrive(self, number: int, **changes: object) -> None:
        values: dict[str, object] = {
            "organisation": self.rng.choice(("large", "small")),
            "work_class": self.rng.choice(CLASSES).name,
            "size": self.rng.randrange(1, 1000),
            "deadline": self.now + self.rng.uniform(0.1, 30),
            "affinity_key": self.rng.choice(("", "k1", "k2")),
            "fingerprint": f"f{self.rng.randrange(8)}",
        }
        request = build_request(f"r{number}", **{**values, **changes})
        self.open[request.request_id] = request.execution.value
        self.send(request)

    def start(self, number: int) -> None:
        if self.placed:
            self.send(AnswerStarted(self.rng.choice(list(self.placed))))

    def finish(self, number: int) -> None:
        if self.placed:
            self.end_attempt(self.rng.choice(list(self.placed)), AnswerResult.WHOLE)

    def fail(self, number: int) -> None:
        if not self.placed:
            return
        request_id = self.rng.choice(list(self.placed))
        target = self.placed[request_id]
        failures = (AnswerResult.DIED, AnswerResult.UNREACHABLE, AnswerResult.REFUSED)
        self.end_attempt(request_id, self.rng.choice(failures))
        retry = {"excluded": (target,), "execution": Execution.MAY_HAVE_RUN}
        self.arrive(int(request_id[1:]), **retry)

    def end_attempt(self, request_id: str, result: AnswerResult) -> None:
        self.send(AnswerFinished(request_id, self.placed.pop(request_id), result))

    def withdraw(self, number: int) -> None:
        if self.open:
            request_id = self.rng.choice(list(self.open))
            del self.open[request_id]
            self.send(RequestWithdrawn(request_id))

    def report(self, number: int) -> None:
        target = self.rng.choice(TARGETS)
        state = self.rng.choice(list(TargetState))
        source = self.rng.choice(list(StateSource))
        if state is TargetState.LEAVING and source is not StateSource.CONFIGURATION:
            # Only probes make it live again, and only after `min_leaving_seconds`.
            self.leaving.add(target)
        self.send(TargetReported(target, state, source))

    def load(self, number: int) -> None:
        at = self.now - self.rng.uniform(0, 2)
        running, waiting = self.rng.randrange(4), self.rng.randrange(4)
        self.send(LoadReported(self.rng.choice(TARGETS), running, waiting, at))

    def tick(self, number: int) -> None:
        self.send(Ticked())

    def probe(self, number: int) -> None:
        if self.probes:
            is_healthy = self.rng.random() < 0.8
            self.send(ProbeAnswered(self.probes.pop(), is_healthy))

    def peers(self, number: int) -> None:
        self.send(DaemonsCounted(self.rng.randrange(1, 9)))

    def configure(self, number: int) -> None:
        self.revision += 1
        targets = [build_target(name, concurrency=2) for name in TARGETS]
        configuration = build_configuration(*targets, revision=self.revision)
        self.send(ConfigurationApplied(configuration))

    def gossip(self, number: int) -> None:
        fingerprint = f"f{self.rng.randrange(8)}"
        messages = (
            PeerCrashReported(fingerprint, self.rng.choice(TARGETS)),
            PeerQuarantineReported(fingerprint, self.rng.uniform(1, 20)),
            QuarantineReleased(fingerprint),
            PeerReleaseReported(fingerprint),
        )
        self.send(self.rng.choice(messages))

    def drain(self) -> None:
        for _ in range(400):
            self.now += 1.0
            for request_id in list(self.placed):
                self.end_attempt(request_id, AnswerResult.WHOLE)
            self.send(Ticked())
        assert not self.open, "requests are left without an effect"
        assert not self.placed


class TestRandomRuns:
    @given(seed=st.integers(0, 2**32))
    @configure(max_examples=60, deadline=None, derandomize=True)
    def test_each_arrival_is_answered_once_within_the_limits(self, seed):
        model = SchedulerModel(seed)
        # The steps take about 25 s, less than `min_leaving_seconds`.
        model.run(100)
