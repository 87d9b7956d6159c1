"""Measure processor time and memory of one scheduler up to the design size.

Run as ``python -m kingcuphead.bench._traffic_scale``.
"""

import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from kingcuphead.placement import AnswerResult, ProbeRequested
from kingcuphead.queueing import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    DaemonsCounted,
    LoadReported,
    ProbeAnswered,
    RequestArrived,
    RequestPlaced,
    Scheduler,
    SchedulerSettings,
    Ticked,
)
from kingcuphead.records import Configuration, Target, WorkClass

#: Numbers of targets that are measured; the last is the design size.
TARGETS = (9, 90, 710)
#: Number of daemons that share the targets at the design size.
DAEMONS = 330
#: Number of models, each served by an equal share of the targets.
MODELS = 9
#: Number of requests, and of load reports, per measurement.
REQUESTS = 500
#: Number of ticks per measurement.
TICKS = 40
#: Microseconds in a second.
MICROSECONDS = 1e6


def build_scheduler(targets: int) -> Scheduler:
    """Return a scheduler with `targets` targets and a proportional number of peers."""
    classes = {"default": WorkClass("default", rank=0, deadline=10.0)}
    records = {
        f"t{number}": Target(
            f"t{number}",
            "pool",
            "127.0.0.1:1",
            f"zone-{number % 5}",
            (f"model-{number % MODELS}",),
            concurrency=32,
        )
        for number in range(targets)
    }
    configuration = Configuration(
        1, classes=MappingProxyType(classes), targets=MappingProxyType(records)
    )
    scheduler = Scheduler(SchedulerSettings(), "daemon", random.Random(1))
    scheduler.receive(DaemonsCounted(max(1, DAEMONS * targets // TARGETS[-1])), 0.0)
    scheduler.receive(ConfigurationApplied(configuration), 0.0)
    return scheduler


def run_request(scheduler: Scheduler, number: int) -> None:
    """Send a request to the scheduler; if it is placed, start and finish its answer."""
    now = number / 25
    request = RequestArrived(
        request_id=f"r{number}",
        organisation=f"o{number % 50}",
        work_class="default",
        service="pool",
        model=f"model-{number % MODELS}",
        size=500,
        deadline=now + 10,
        affinity_key=f"key-{number % 200}",
    )
    for effect in scheduler.receive(request, now):
        if isinstance(effect, RequestPlaced):
            scheduler.receive(AnswerStarted(request.request_id), now)
            finished = AnswerFinished(
                request.request_id, effect.target, AnswerResult.WHOLE
            )
            scheduler.receive(finished, now)


def run_tick(scheduler: Scheduler, number: int) -> None:
    """Send a tick to the scheduler and answer its probes."""
    now = REQUESTS / 25 + number / 4
    for effect in scheduler.receive(Ticked(), now):
        if isinstance(effect, ProbeRequested):
            scheduler.receive(ProbeAnswered(effect.target, is_healthy=True), now)


def run_report(scheduler: Scheduler, number: int) -> None:
    """Send a load report to the scheduler."""
    now = (REQUESTS + number) / 25
    scheduler.receive(LoadReported("t0", 5, 0, now - 1), now)


def measure(action: Callable[[int], None], times: int) -> float:
    """Return the mean processor time of a call of `action`, in microseconds."""
    started_at = time.process_time()
    for number in range(times):
        action(number)
    return (time.process_time() - started_at) / times * MICROSECONDS


def main() -> None:
    """Measure each number of targets and print its row of the table."""
    print("| targets | request, us | tick, us | load report, us | memory, KB |")
    print("|---|---|---|---|---|")
    for targets in TARGETS:
        tracemalloc.start()
        scheduler = build_scheduler(targets)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        figures = (
            measure(partial(run_request, scheduler), REQUESTS),
            measure(partial(run_tick, scheduler), TICKS),
            measure(partial(run_report, scheduler), REQUESTS),
            memory / 1024,
        )
        cells = " | ".join(f"{figure:.0f}" for figure in figures)
        print(f"| {targets} | {cells} |")


if __name__ == "__main__":
    main()
