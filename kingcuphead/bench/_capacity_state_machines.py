"""Processor time and memory of single state machines, without input or output."""

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
from kingcuphead.peers import Envelope, decode_envelope, encode_envelope
from kingcuphead.records import Budget, Configuration, Organisation
from kingcuphead.storage import Instance, InstanceState

#: Name, title, unit and variable of a slope, its sizes, and the function that returns
#: the cost at a size.
Measurement = tuple[str, str, str, str, tuple[float, ...], Callable[[float], float]]

MICROSECONDS = 1e6
KILOBYTE = 1000.0
#: Calls that one run averages.
REPEATS = 300
#: Members in a full heartbeat, and notices in it.
FULL_HEARTBEAT_FACTS = 8


def measure_state_machines() -> Iterator[Slope]:
    """Measure membership, placement, key index and metrics; yield the slopes."""
    for name, title, unit, variable, sizes, measure in _list_measurements():
        yield measure_slope(name, title, unit, variable, sizes, measure)


def _list_measurements() -> Iterator[Measurement]:
    daemons = ("daemons", (7, 50, 330))
    targets = ("targets", (9, 100, 710))
    series = ("organisations with series", (10, 50, 100))
    exchange = "one heartbeat sent, received and acknowledged, coding included"
    yield "heartbeat_us", exchange, "us", *daemons, measure_heartbeat
    members = "memory of the membership machine"
    yield "member_kb", members, "KB", *daemons, measure_member_memory
    placement = "one request placed, started and finished"
    yield "placement_us", placement, "us", *targets, measure_placement
    tick = "one tick of the scheduler"
    yield "scheduler_tick_us", tick, "us", *targets, measure_scheduler_tick
    scheduler = "memory of the scheduler"
    yield "target_kb", scheduler, "KB", *targets, measure_target_memory
    index = "index of bearer keys, built anew at each change"
    organisations = ("organisations", (10, 200, 1400))
    yield "key_index_us", index, "us", *organisations, measure_key_index
    yield "scrape_us", "one scrape of the metrics", "us", *series, measure_scrape
    metrics = "memory of the metrics"
    yield "series_kb", metrics, "KB", *series, measure_series_memory


def measure_heartbeat_size() -> Iterator[Slope]:
    """Yield the size of a heartbeat by its number of members and notices."""
    points = tuple(
        Point(facts, (float(count_heartbeat_bytes(facts)),))
        for facts in (FULL_HEARTBEAT_FACTS, 4, 0)
    )
    yield Slope("heartbeat_bytes", "one heartbeat", "B", "facts of each kind", points)


def count_heartbeat_bytes(facts: int) -> int:
    """Return the bytes of a heartbeat with `facts` members and as many notices."""
    members = tuple(_make_member(number) for number in range(facts))
    notices = tuple(
        Notice(NoticeKind.TARGET_LEAVING, f"runner-{number}", "", "entry-1/1", number)
        for number in range(facts)
    )
    heartbeat = Heartbeat(1, _make_member(0), 1, members, notices)
    return len(encode_envelope(Envelope("entry-1", 1, heartbeat)))


def measure_heartbeat(daemons: float) -> float:
    """Return the processor time of a heartbeat and its reply, in us, at both ends."""
    first, second = (_make_membership(int(daemons), number) for number in (0, 1))
    first.receive(Ticked(), 0.0)
    heartbeat = Heartbeat(
        1,
        _make_member(1),
        1,
        tuple(_make_member(n) for n in range(2, 2 + FULL_HEARTBEAT_FACTS)),
        (),
    )

    def exchange(number: int) -> None:
        now = 0.001 * number
        for effect in first.receive(_encode_and_decode(heartbeat), now):
            if isinstance(effect, SendToAddress):
                second.receive(_encode_and_decode(effect.message), now)

    return measure_call(exchange, REPEATS)


def measure_member_memory(daemons: float) -> float:
    """Return the memory of the membership state of a fleet, in KB."""
    return measure_memory(lambda: _make_membership(int(daemons), 0))


def measure_placement(targets: float) -> float:
    """Return the processor time of a request in the scheduler, in us."""
    scheduler = build_scheduler(int(targets))
    return measure_call(lambda number: run_request(scheduler, number), REPEATS)


def measure_scheduler_tick(targets: float) -> float:
    """Return the processor time of a tick of the scheduler, in us."""
    scheduler = build_scheduler(int(targets))
    return measure_call(lambda number: run_tick(scheduler, number), REPEATS)


def measure_target_memory(targets: float) -> float:
    """Return the memory of a scheduler by its number of targets, in KB."""
    return measure_memory(lambda: build_scheduler(int(targets)))


def measure_key_index(organisations: float) -> float:
    """Return the processor time of building the index of bearer keys, in us."""
    configuration = _make_configuration(int(organisations))
    return measure_call(lambda _: KeyIndex.build(configuration), REPEATS // 10)


def measure_scrape(organisations: float) -> float:
    """Return the processor time of rendering the metrics, in us."""
    metrics = _make_metrics(int(organisations))
    return measure_call(lambda _: metrics.render(), 5)


def measure_series_memory(organisations: float) -> float:
    """Return the memory of the metrics, in KB."""
    return measure_memory(lambda: _make_metrics(int(organisations)))


def measure_call(action: Callable[[int], object], times: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started = time.process_time()
    for number in range(times):
        action(number)
    return (time.process_time() - started) / times * MICROSECONDS


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory that Python has allocated for an object, in kilobytes."""
    tracemalloc.start()
    try:
        built = build()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return size / KILOBYTE


def _encode_and_decode(
    message: Heartbeat | HeartbeatAcknowledged,
) -> Heartbeat | HeartbeatAcknowledged:
    """Encode a message in an envelope, decode it again and return it."""
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
    membership = Membership(_make_member(own), MembershipSettings(), random.Random(own))
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
    membership.receive(InstancesListed(instances), 0.0)
    return membership


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
