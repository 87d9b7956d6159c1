"""Callers that retry once, at another daemon, as they do behind a balancer."""

import asyncio
import dataclasses
import random

from kingcuphead.admission.tests._load import Outcome, Service, exchange_loads, play

#: Largest part of its remaining time that a caller waits before its retry.
MAX_WAIT_PART = 1 / 3
#: Seconds of a new connection and the way of a refusal.
TRANSIT_SECONDS = 0.003


@dataclasses.dataclass
class Call:
    """Both tries of one caller."""

    rank: int
    began_at: float
    tries: list[Outcome] = dataclasses.field(default_factory=list)

    @property
    def is_refused_twice(self):
        return len(self.tries) == 2 and not self.tries[-1].is_served

    def is_in_time(self, objective):
        last = self.tries[-1]
        return last.is_served and last.ended_at - self.began_at <= objective


async def call_with_retry(services, rng, call, number, timeout):
    """Send a request, and once more to another daemon if it is refused."""
    first = rng.choice(services)
    values = {"rank": call.rank, "fingerprint": f"c{number}"}
    call.tries.append(await first.send(timeout=timeout, **values))
    if call.tries[0].is_served:
        return
    loop = asyncio.get_running_loop()
    remaining = call.began_at + timeout - loop.time()
    if call.tries[0].refused.retry_after > MAX_WAIT_PART * remaining:
        wait = MAX_WAIT_PART * remaining
    else:
        wait = call.tries[0].refused.retry_after
    await asyncio.sleep(wait + TRANSIT_SECONDS * rng.uniform(1, 2))
    # The header has milliseconds.
    remaining = round(call.began_at + timeout - loop.time(), 3)
    other = rng.choice([each for each in services if each is not first])
    call.tries.append(await other.send(timeout=remaining, **values))


async def begin_calls(services, seed, rank, rate, seconds, calls, choose_timeout):
    """Let callers arrive at random times with a mean rate, and wait for their ends.

    Each caller has random numbers of its own: what becomes of one doesn't change the
    times at which others arrive.
    """
    loop = asyncio.get_running_loop()
    arrivals = random.Random(f"{seed}/{rank}")
    tasks: list[asyncio.Task[None]] = []
    while loop.time() < seconds:
        await asyncio.sleep(arrivals.expovariate(rate))
        call = Call(rank, loop.time())
        calls.append(call)
        number = f"{rank}/{len(tasks)}"
        rng = random.Random(f"{seed}/{number}")
        made = call_with_retry(services, rng, call, number, choose_timeout(rng))
        tasks.append(asyncio.create_task(made))
    await asyncio.gather(*tasks)


def play_calls(profile, rates, seconds=4, seed=1, choose_timeout=None):
    """Play callers with one retry each and return their calls.

    Parameters
    ----------
    profile
        The service.
    rates
        Calls in units of the capacity by rank.
    seconds
        Length of the arrivals.
    seed
        Seed of the arrivals and of the reports that are lost.
    choose_timeout
        Returns the time that a first try states; by default that of the profile.
    """
    choose = choose_timeout or (lambda rng: profile.timeout)

    async def scenario():
        services = [Service(profile)]
        for _ in range(profile.daemons - 1):
            services.append(Service(profile, services[0].places))
        exchange = asyncio.create_task(exchange_loads(services, random.Random(seed)))
        calls: list[Call] = []
        begun = (
            begin_calls(
                services,
                seed,
                rank,
                share * profile.capacity,
                seconds,
                calls,
                choose,
            )
            for rank, share in rates.items()
        )
        await asyncio.gather(*begun)
        exchange.cancel()
        return calls

    return play(scenario())
