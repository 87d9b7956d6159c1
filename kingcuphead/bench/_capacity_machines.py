"""Costs of the state machines by themselves."""

import random
import time
import tracemalloc
from collections.abc import Callable, Iterator

from kingcuphead.api import KeyIndex
from kingcuphead.bench._capacity_results import Point, Slope, measure_slope
from kingcuphead.bench._traffic_scale import build_scheduler, run_request, run_tick
from kingcuphead.membership import (
    Heartbeat,
    HeartbeatAcknowledged,
    InstancesListed,
    Member,
    Membership,
    MembershipSettings,
    MemberStatus,
    Notice,
    NoticeKind,
    SendToAddress,
    Ticked,
)
from kingcuphead.metrics import Metrics, MetricsSettings, RequestMeasured, StreamTimes
from kingcuphead.platform import Instance, InstanceState
from kingcuphead.records import Budget, Configuration, Organisation
from kingcuphead.wire import Envelope, decode_envelope, encode_envelope

MICROSECONDS = 1e6
KILOBYTE = 1000.0
#: Repetitions inside one run.
REPEATS = 300
#: Members and notices in a full heartbeat.
FULL = 8


def measure_machines() -> Iterator[Slope]:
    """Yield the slopes of membership, placement, configuration and metrics."""
    yield measure_slope(
        "heartbeat_us",
        "one heartbeat sent, received and acknowledged, coding included",
        "us",
        "daemons",
        (7, 50, 330),
        measure_heartbeat,
    )
    yield measure_slope(
        "member_kb",
        "memory of the membership machine",
        "KB",
        "daemons",
        (7, 50, 330),
        measure_member_memory,
    )
    yield measure_slope(
        "placement_us",
        "one request placed, started and finished",
        "us",
        "targets",
        (9, 100, 710),
        measure_placement,
    )
    yield measure_slope(
        "scheduler_tick_us",
        "one tick of the scheduler",
        "us",
        "targets",
        (9, 100, 710),
        measure_scheduler_tick,
    )
    yield measure_slope(
        "target_kb",
        "memory of the scheduler",
        "KB",
        "targets",
        (9, 100, 710),
        measure_target_memory,
    )
    yield measure_slope(
        "key_index_us",
        "index of bearer keys, built anew at each change",
        "us",
        "organisations",
        (10, 200, 1400),
        measure_key_index,
    )
    yield measure_slope(
        "scrape_us",
        "one scrape of the metrics",
        "us",
        "organisations with series",
        (10, 50, 100),
        measure_scrape,
    )
    yield measure_slope(
        "series_kb",
        "memory of the metrics",
        "KB",
        "organisations with series",
        (10, 50, 100),
        measure_series_memory,
    )


def measure_heartbeat_size() -> Iterator[Slope]:
    """Yield the size of a heartbeat by the facts that it carries."""
    points = tuple(
        Point(facts, (float(count_heartbeat_bytes(facts)),)) for facts in (FULL, 4, 0)
    )
    yield Slope("heartbeat_bytes", "one heartbeat", "B", "facts of each kind", points)


def count_heartbeat_bytes(facts: int) -> int:
    """Return the size of a heartbeat with so many members and notices."""
    members = tuple(_make_member(number) for number in range(facts))
    notices = tuple(
        Notice(NoticeKind.TARGET_LEAVING, f"runner-{number}", "", "entry-1/1", number)
        for number in range(facts)
    )
    beat = Heartbeat(1, _make_member(0), 1, members, notices)
    return len(encode_envelope(Envelope("entry-1", 1, beat)))


def measure_heartbeat(daemons: float) -> float:
    """Return the cost of an exchange, over both ends."""
    first, second = (_make_membership(int(daemons), number) for number in (0, 1))
    first.receive(Ticked(), 0.0)
    beat = Heartbeat(
        1, _make_member(1), 1, tuple(_make_member(n) for n in range(2, 2 + FULL)), ()
    )

    def exchange(number: int) -> None:
        now = 0.001 * number
        for effect in first.receive(_send(beat), now):
            if isinstance(effect, SendToAddress):
                second.receive(_send(effect.message), now)

    return time_each(exchange, REPEATS)


def measure_member_memory(daemons: float) -> float:
    """Return the memory of a machine that knows so many daemons."""
    return measure_memory(lambda: _make_membership(int(daemons), 0))


def measure_placement(targets: float) -> float:
    """Return the cost of a request's way through the scheduler."""
    scheduler = build_scheduler(int(targets))
    return time_each(lambda number: run_request(scheduler, number), REPEATS)


def measure_scheduler_tick(targets: float) -> float:
    """Return the cost of a tick."""
    scheduler = build_scheduler(int(targets))
    return time_each(lambda number: run_tick(scheduler, number), REPEATS)


def measure_target_memory(targets: float) -> float:
    """Return the memory of a scheduler with so many targets."""
    return measure_memory(lambda: build_scheduler(int(targets)))


def measure_key_index(organisations: float) -> float:
    """Return the cost of the index of keys."""
    configuration = _make_configuration(int(organisations))
    return time_each(lambda _: KeyIndex.build(configuration), REPEATS // 10)


def measure_scrape(organisations: float) -> float:
    """Return the cost of rendering the metrics."""
    metrics = _make_metrics(int(organisations))
    return time_each(lambda _: metrics.render(), 5)


def measure_series_memory(organisations: float) -> float:
    """Return the memory of the metrics."""
    return measure_memory(lambda: _make_metrics(int(organisations)))


def time_each(action: Callable[[int], object], times: int) -> float:
    """Return the processor time of one call, in microseconds."""
    started = time.process_time()
    for number in range(times):
        action(number)
    return (time.process_time() - started) / times * MICROSECONDS


def measure_memory(build: Callable[[], object]) -> float:
    """Return what Python allocates for an object, in kilobytes."""
    tracemalloc.start()
    try:
        built = build()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return size / KILOBYTE


def _send(
    message: Heartbeat | HeartbeatAcknowledged,
) -> Heartbeat | HeartbeatAcknowledged:
    """Return a message after its way over the wire."""
    received = decode_envelope(encode_envelope(Envelope("entry-1", 1, message)))
    decoded = received.ok.message
    if not isinstance(decoded, Heartbeat | HeartbeatAcknowledged):
        raise TypeError(decoded)
    return decoded


def _make_member(number: int) -> Member:
    return Member(
        f"entry-{number}",
        f"10.0.0.1:{number}",
        "zone-a",
        "region-1",
        1,
        0,
        MemberStatus.ALIVE,
    )


def _make_membership(daemons: int, own: int) -> Membership:
    machine = Membership(_make_member(own), MembershipSettings(), random.Random(own))
    instances = tuple(
        Instance(
            f"entry-{number}",
            "kingcuphead",
            "zone-a",
            f"10.0.0.1:{number}",
            InstanceState.LIVE,
        )
        for number in range(daemons)
    )
    machine.receive(InstancesListed(instances), 0.0)
    return machine


def _make_configuration(organisations: int) -> Configuration:
    names = [f"organisation-{number}" for number in range(organisations)]
    return Configuration(
        revision=1,
        organisations={
            name: Organisation(name, (f"{number:064x}",), name, ("large",))
            for number, name in enumerate(names)
        },
        budgets={name: Budget(name) for name in names},
    )


def _make_metrics(organisations: int) -> Metrics:
    metrics = Metrics(MetricsSettings(organisations=organisations))
    for number in range(organisations):
        metrics.record_request(
            RequestMeasured(
                f"organisation-{number}",
                "short",
                None,
                (("hold", 0.001), ("queue", 0.01), ("settlement", 0.002)),
                StreamTimes(0.2, 0.03, 0.05),
                100,
                200,
            )
        )
    return metrics
