"""Factories of records, messages and schedulers for the tests."""

import random
from types import MappingProxyType

from kingcuphead.queueing import (
    ConfigurationApplied,
    Effect,
    RequestArrived,
    RequestPlaced,
    RequestRejected,
    Scheduler,
    SchedulerSettings,
)
from kingcuphead.records import Configuration, Organisation, Target, WorkClass

CLASSES = (
    WorkClass("urgent", rank=0, deadline=5.0),
    WorkClass("normal", rank=1, deadline=20.0, share=0.75),
    WorkClass("background", rank=2, deadline=600.0, ageing=10.0, share=0.5),
)


def build_target(name: str, **changes: object) -> Target:
    values: dict[str, object] = {
        "name": name,
        "service": "pool",
        "address": f"127.0.0.1:{9000 + int(name[1:])}",
        "zone": "a",
        "models": ("m",),
        "concurrency": 4,
    }
    return Target(**{**values, **changes})  # type: ignore[arg-type]


def build_configuration(*targets: Target, revision: int = 1) -> Configuration:
    organisations = (Organisation(name, (), "b", ("m",)) for name in ("large", "small"))
    return Configuration(
        revision=revision,
        organisations=MappingProxyType({entry.name: entry for entry in organisations}),
        classes=MappingProxyType({entry.name: entry for entry in CLASSES}),
        targets=MappingProxyType({entry.name: entry for entry in targets}),
    )


def build_scheduler(
    *targets: Target, settings: SchedulerSettings | None = None
) -> Scheduler:
    scheduler = Scheduler(settings or SchedulerSettings(), "d1", random.Random(1))
    configuration = build_configuration(*(targets or (build_target("t1"),)))
    scheduler.receive(ConfigurationApplied(configuration), 0.0)
    return scheduler


def build_request(request_id: str, **changes: object) -> RequestArrived:
    values: dict[str, object] = {
        "request_id": request_id,
        "organisation": "large",
        "work_class": "normal",
        "service": "pool",
        "model": "m",
        "size": 100,
        "deadline": 1000.0,
        "fingerprint": f"f-{request_id}",
    }
    return RequestArrived(**{**values, **changes})  # type: ignore[arg-type]


def get_placed(effects: tuple[Effect, ...]) -> dict[str, str]:
    return {
        effect.request_id: effect.target
        for effect in effects
        if isinstance(effect, RequestPlaced)
    }


def get_rejected(effects: tuple[Effect, ...]) -> dict[str, RequestRejected]:
    return {
        effect.request_id: effect
        for effect in effects
        if isinstance(effect, RequestRejected)
    }
