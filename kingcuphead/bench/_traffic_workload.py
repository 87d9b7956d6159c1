"""Synthetic workloads of two deployments: Poisson arrivals with a burst."""

import dataclasses
import itertools
import random
from collections.abc import Iterator

from kingcuphead.records import WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class ClassLoad:
    """Requests of one work class: sizes, prefixes and share of the load."""

    #: Configuration record of the class.
    work_class: WorkClass
    #: Share of the offered load, in engine time; 1 is the sum over all classes.
    load_share: float
    #: Mean prompt size, in tokens.
    prompt_tokens: int
    #: Size of the shared prefix of requests with the same prefix key, in tokens.
    prefix_tokens: int
    #: Mean output size, in tokens.
    output_tokens: int
    #: Number of distinct prefixes per organisation.
    prefixes: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Engines, organisations and load of one user of the product."""

    #: Title in the printed page.
    name: str
    #: Number of engines.
    engines: int
    #: Names of the availability zones.
    zones: tuple[str, ...]
    #: Names of the organisations, by descending request rate.
    organisations: tuple[str, ...]
    #: Load of each class; the first class is the most urgent.
    loads: tuple[ClassLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request as a caller sends it."""

    #: Unique identifier in the run.
    job_id: str
    #: Virtual time of arrival, in seconds.
    arrives_at: float
    #: Name of the organisation that sends it.
    organisation: str
    #: Name of its work class.
    work_class: str
    #: Seconds from arrival until the caller disconnects without a first token.
    caller_timeout: float
    #: Prompt size, in tokens.
    prompt_tokens: int
    #: Size of the shared prefix, in tokens.
    prefix_tokens: int
    #: Output size, in tokens.
    output_tokens: int
    #: Key of the shared prefix; empty without one.
    prefix_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A period of constant load."""

    #: Duration, in virtual seconds.
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
            load_share=0.15,
            prompt_tokens=6000,
            prefix_tokens=2000,
            output_tokens=300,
        ),
        ClassLoad(
            WorkClass("dealer", rank=1, deadline=5.0, share=0.9),
            load_share=0.45,
            prompt_tokens=600,
            prefix_tokens=450,
            output_tokens=80,
            prefixes=4,
        ),
        ClassLoad(
            WorkClass("carpenter", rank=1, deadline=8.0, share=0.9),
            load_share=0.40,
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
            load_share=0.10,
            prompt_tokens=400,
            prefix_tokens=250,
            output_tokens=40,
            prefixes=2,
        ),
        ClassLoad(
            WorkClass("dictated-note", rank=1, deadline=10.0, share=0.9),
            load_share=0.50,
            prompt_tokens=700,
            prefix_tokens=400,
            output_tokens=150,
            prefixes=4,
        ),
        ClassLoad(
            WorkClass(
                "monthly-summary", rank=2, deadline=600.0, ageing=60.0, share=0.5
            ),
            load_share=0.25,
            prompt_tokens=8000,
            prefix_tokens=1000,
            output_tokens=500,
        ),
        ClassLoad(
            WorkClass("route-label", rank=3, deadline=900.0, ageing=60.0, share=0.3),
            load_share=0.15,
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
    """Yield the requests of each class; no class influences another's arrivals.

    Parameters
    ----------
    deployment : Deployment
        Classes and organisations.
    phases : tuple of Phase
        Consecutive levels of load.
    rates : dict of str to float
        Answers per second of all engines saturated by a class alone, by class name.
    seed : int
        Seed of the arrivals.
    """
    for load in deployment.loads:
        name = load.work_class.name
        rng = random.Random(f"{seed}-{name}")
        numbers = itertools.count()
        start = 0.0
        for phase in phases:
            rate = rates[name] * load.load_share * phase.load
            for at in generate_times(rng, start, start + phase.seconds, rate):
                job_id = f"{name}-{next(numbers)}"
                yield create_job(deployment, load, job_id, at, rng)
            start += phase.seconds


def generate_times(
    rng: random.Random, start: float, end: float, rate: float
) -> Iterator[float]:
    """Yield the times of Poisson arrivals at `rate` per second."""
    at = start + rng.expovariate(rate)
    while at < end:
        yield at
        at += rng.expovariate(rate)


def create_job(
    deployment: Deployment,
    load: ClassLoad,
    job_id: str,
    at: float,
    rng: random.Random,
) -> Job:
    """Create a random request of a class."""
    names = deployment.organisations
    # Zipf distribution: the n-th organisation has weight 1/n.
    weights = [1 / (rank + 1) for rank in range(len(names))]
    organisation = rng.choices(names, weights)[0]
    prefix = rng.randrange(load.prefixes)
    body = load.prompt_tokens - load.prefix_tokens
    name = load.work_class.name
    return Job(
        job_id=job_id,
        arrives_at=at,
        organisation=organisation,
        work_class=name,
        caller_timeout=load.work_class.deadline,
        prompt_tokens=load.prefix_tokens + round(body * rng.uniform(0.5, 1.5)),
        prefix_tokens=load.prefix_tokens,
        output_tokens=max(1, round(load.output_tokens * rng.uniform(0.5, 1.5))),
        prefix_key=f"{organisation}/{name}/{prefix}",
    )
