"""Workloads of the two deployments, with open arrivals and a burst."""

import dataclasses
import itertools
import random
from collections.abc import Iterator

from kingcuphead.records import WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class ClassLoad:
    """One class of requests: its policy, its shape and its part of the load."""

    #: Policy as configured.
    work_class: WorkClass
    #: Part of the engines' time that the class asks for, relative to the others.
    part: float
    #: Mean prompt size in tokens.
    prompt_tokens: int
    #: Tokens at the prompt's start that requests with one key share.
    prefix_tokens: int
    #: Mean output size in tokens.
    output_tokens: int
    #: Distinct prefixes of each organisation.
    prefixes: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The engines and the load of one of the two users."""

    #: Name in reports.
    name: str
    #: Number of engines.
    engines: int
    #: Availability zones.
    zones: tuple[str, ...]
    #: Names of the organisations; the first ones send the most.
    organisations: tuple[str, ...]
    #: Classes, the first one first.
    loads: tuple[ClassLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request as a caller sends it."""

    #: Identity.
    job_id: str
    #: When it arrives, in seconds.
    arrives_at: float
    #: Organisation that sends it.
    organisation: str
    #: Name of its class.
    work_class: str
    #: Seconds from arrival in which the first token is of use.
    patience: float
    #: Prompt size in tokens.
    prompt_tokens: int
    #: Tokens of the shared prefix.
    prefix_tokens: int
    #: Output size in tokens.
    output_tokens: int
    #: Key of the shared prefix; empty for none.
    prefix_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of time with one level of load."""

    #: Length in seconds.
    seconds: float
    #: Offered load relative to the engines' capacity.
    load: float


ATLAS = Deployment(
    name="Atlas Bois Habitat",
    engines=6,
    zones=("rabat-a", "rabat-b", "kenitra-c"),
    organisations=tuple(f"atlas-{number}" for number in range(10)),
    loads=(
        ClassLoad(
            WorkClass("plan-review", rank=0, deadline=15.0),
            part=0.15,
            prompt_tokens=6000,
            prefix_tokens=2000,
            output_tokens=300,
        ),
        ClassLoad(
            WorkClass("dealer", rank=1, deadline=5.0, share=0.9),
            part=0.45,
            prompt_tokens=600,
            prefix_tokens=450,
            output_tokens=80,
            prefixes=4,
        ),
        ClassLoad(
            WorkClass("carpenter", rank=1, deadline=8.0, share=0.9),
            part=0.40,
            prompt_tokens=800,
            prefix_tokens=400,
            output_tokens=120,
            prefixes=4,
        ),
    ),
)

SKUPNA = Deployment(
    name="Skupna Pot",
    engines=9,
    zones=("lj-a", "lj-b", "lj-c"),
    organisations=tuple(f"skupna-{number}" for number in range(10)),
    loads=(
        ClassLoad(
            WorkClass("todays-log", rank=0, deadline=2.0),
            part=0.10,
            prompt_tokens=400,
            prefix_tokens=250,
            output_tokens=40,
            prefixes=2,
        ),
        ClassLoad(
            WorkClass("dictated-note", rank=1, deadline=10.0, share=0.9),
            part=0.50,
            prompt_tokens=700,
            prefix_tokens=400,
            output_tokens=150,
            prefixes=4,
        ),
        ClassLoad(
            WorkClass(
                "monthly-summary", rank=2, deadline=600.0, ageing=60.0, share=0.5
            ),
            part=0.25,
            prompt_tokens=8000,
            prefix_tokens=1000,
            output_tokens=500,
        ),
        ClassLoad(
            WorkClass("route-label", rank=3, deadline=900.0, ageing=60.0, share=0.3),
            part=0.15,
            prompt_tokens=300,
            prefix_tokens=200,
            output_tokens=10,
        ),
    ),
)


def generate_jobs(
    deployment: Deployment,
    phases: tuple[Phase, ...],
    rates: dict[str, float],
    seed: int,
) -> Iterator[Job]:
    """Yield the arrivals of each class; one class's do not depend on the others.

    Parameters
    ----------
    deployment : Deployment
        Classes and organisations.
    phases : tuple of Phase
        Levels of load, one after the other.
    rates : dict of str to float
        Answers a second that all engines give when they run one class alone.
    seed : int
        Seed of the arrivals.
    """
    for load in deployment.loads:
        name = load.work_class.name
        source = random.Random(f"{seed}-{name}")
        numbers = itertools.count()
        start = 0.0
        for phase in phases:
            rate = rates[name] * load.part * phase.load
            for at in generate_times(source, start, start + phase.seconds, rate):
                job_id = f"{name}-{next(numbers)}"
                yield create_job(deployment, load, job_id, at, source)
            start += phase.seconds


def generate_times(
    source: random.Random, start: float, end: float, rate: float
) -> Iterator[float]:
    """Yield the times of Poisson arrivals at `rate` a second."""
    at = start + source.expovariate(rate)
    while at < end:
        yield at
        at += source.expovariate(rate)


def create_job(
    deployment: Deployment,
    load: ClassLoad,
    job_id: str,
    at: float,
    source: random.Random,
) -> Job:
    """Draw one request of a class."""
    names = deployment.organisations
    # Each organisation sends less than the one before it.
    weights = [1 / (place + 1) for place in range(len(names))]
    organisation = source.choices(names, weights)[0]
    prefix = source.randrange(load.prefixes)
    body = load.prompt_tokens - load.prefix_tokens
    name = load.work_class.name
    return Job(
        job_id=job_id,
        arrives_at=at,
        organisation=organisation,
        work_class=name,
        patience=load.work_class.deadline,
        prompt_tokens=load.prefix_tokens + round(body * source.uniform(0.5, 1.5)),
        prefix_tokens=load.prefix_tokens,
        output_tokens=max(1, round(load.output_tokens * source.uniform(0.5, 1.5))),
        prefix_key=f"{organisation}/{name}/{prefix}",
    )
