"""Fleets whose daemons are all killed at once, and the loss of each budget.

The daemons start again after `DOWN_SECONDS`, reclaim reserves and serve requests.
"""

import asyncio
import dataclasses

import msgspec

from kingcuphead.credit import HolderRow
from kingcuphead.credit._rows import get_holder_incarnation
from kingcuphead.credit.tests._fleet import START_SECONDS, Fleet

#: Seconds for which killed daemons are down.
DOWN_SECONDS = 0.6
#: Seconds from a kill until its loss is measured, in which reserves are reclaimed.
RECLAIM_SECONDS = 5.0
#: Share of the callers that disconnect before their request ends.
LEAVING_SHARE = 0.05
#: Share of a request's tokens that its prompt has.
PROMPT_SHARE = 0.7


@dataclasses.dataclass
class KillLoss:
    """Tokens of one budget that a kill leaves charged and not settled."""

    #: Free credit at hand.
    free: int = 0
    #: Held for requests in flight and not spent.
    held: int = 0
    #: Spent by requests in flight, of which no hold is settled.
    in_flight: int = 0
    #: Settled in the daemon and not yet in the store.
    unreported: int = 0
    #: Reserve that isn't reclaimed, and tokens in transactions and datagrams.
    rest: int = 0
    #: Reserve at the kill, most of which is reclaimed.
    reserve: int = 0
    #: Prompts charged until the kill for callers that disconnected; not in the total.
    left_prompts: int = 0

    @property
    def total(self):
        return self.free + self.held + self.in_flight + self.unreported + self.rest


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """Requests that may be large against a budget."""

    #: Share of all requests.
    share: float
    #: Prompt tokens in the mean, and the maximum of output tokens.
    prompt: int
    max_output: int
    #: Seconds to the first event, and from there to the last one.
    first_event: float
    duration: float


#: Prompts of one kind vary, the largest is about four times the mean.
LARGE_KINDS = (
    RequestKind(0.25, 12_000, 1_100, 0.3, 1.5),
    RequestKind(0.4, 800, 950, 0.05, 1.2),
    RequestKind(0.35, 2_400, 90, 0.07, 0.1),
)


class KilledFleet(Fleet):
    """A fleet whose daemons are all killed at some times of the day."""

    def __init__(self, *arguments, kills, **options):
        super().__init__(*arguments, **options)
        self.kills = kills
        self.losses: list[dict[str, KillLoss]] = []
        self.is_down = False
        #: Requests in flight: their organisation, tokens, begin and duration.
        self.in_flight = {}
        self.spent = dict.fromkeys(self.budgets, 0)
        #: Prompts, charged whole, of callers that disconnected.
        self.left_prompts = dict.fromkeys(self.budgets, 0)
        self.refused = 0
        self.renewals: list[asyncio.Task[None]] = []
        self.serving: set[asyncio.Task[None]] = set()

    def start(self):
        self.renewals = [asyncio.create_task(task.run()) for task in self.tasks]

    async def stop(self):
        """End all tasks at once; what they sent to the store before may be applied."""
        running = [*self.renewals, *self.serving]
        for each in running:
            each.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def serve_request(self):
        request = asyncio.current_task()
        try:
            await self.serve()
        finally:
            self.in_flight.pop(request, None)
            self.serving.discard(request)

    async def serve(self):
        rng, loop = self.rng, asyncio.get_running_loop()
        name, tokens = self.draw_request()
        task = self.choose_daemon(name)
        self.requests += 1
        held = await task.hold(name, tokens, timeout=1.0)
        if held.is_error():
            self.refused += 1
            return
        seconds = rng.uniform(0.2, 2.0)
        self.in_flight[asyncio.current_task()] = (name, tokens, loop.time(), seconds)
        leaves = rng.random() < LEAVING_SHARE
        share = rng.random() if leaves else rng.uniform(0.8, 1.0)
        await asyncio.sleep(seconds * (share if leaves else 1.0))
        prompt = int(PROMPT_SHARE * tokens)
        spent = prompt + int(share * (tokens - prompt))
        task.settle(held.ok, spent)
        self.spent[name] += spent
        if leaves:
            self.left_prompts[name] += prompt

    def count_charged(self, name):
        """Return the tokens charged and not settled, less those of running daemons.

        Holder rows and shards change by the same transactions.
        """
        budget = self.store.read_budget(name)
        rows = [
            msgspec.json.decode(row.value, type=HolderRow)
            for row in self.store.read(name, "holder/").rows
            if get_holder_incarnation(row.key) == str(self.incarnation)
        ]
        running = sum(row.received - row.settled for row in rows)
        return budget.charged - budget.settled - running

    @property
    def summary(self):
        """Shares of all budgets together, in hundredths, for each kill."""
        whole = sum(self.budgets.values())
        fields = [each.name for each in dataclasses.fields(KillLoss)]
        return [
            {
                field: round(100 * sum(getattr(x, field) for x in losses) / whole, 2)
                for field in [*fields, "total"]
            }
            for losses in (each.values() for each in self.losses)
        ]

    async def kill(self):
        """Kill all daemons, start them again and record what is lost."""
        before = {name: self.count_charged(name) for name in self.budgets}
        losses = {name: self.measure_loss(name) for name in self.budgets}
        self.is_down = True
        await self.stop()
        await asyncio.sleep(DOWN_SECONDS)
        self.incarnation += 1
        self.started_at = asyncio.get_running_loop().time()
        self.endpoints.clear()
        self.clients.clear()
        self.tasks = [
            self.make_task(n, len(self.tasks)) for n in range(len(self.tasks))
        ]
        self.start()
        self.is_down = False
        await asyncio.sleep(RECLAIM_SECONDS)
        for name, loss in losses.items():
            loss.rest = self.count_charged(name) - before[name] - loss.total
        self.losses.append(losses)

    def record_in_flight(self, name):
        """Count as spent what requests in flight have spent, and return it."""
        now = asyncio.get_running_loop().time()
        spent = 0
        for organisation, tokens, begin, seconds in self.in_flight.values():
            if organisation == name:
                share = min(1.0, (now - begin) / seconds)
                spent += int(tokens * (PROMPT_SHARE + (1 - PROMPT_SHARE) * share))
        self.spent[name] += spent
        return spent

    def measure_loss(self, name):
        """Return the loss of a budget, without the part known after the restart."""
        accounts = [task.ledger.get_organisation(name).account for task in self.tasks]
        spent = self.record_in_flight(name)
        return KillLoss(
            free=sum(each.free for each in accounts),
            held=sum(each.held for each in accounts) - spent,
            in_flight=spent,
            unreported=sum(each.unreported for each in accounts),
            reserve=sum(each.reserve for each in accounts),
            left_prompts=self.left_prompts[name],
        )

    async def run(self, seconds):
        self.start()
        await asyncio.sleep(START_SECONDS)
        self.calls = 0
        killing = asyncio.create_task(self.kill_at_times())
        loop = asyncio.get_running_loop()
        while loop.time() < START_SECONDS + seconds:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            if not self.is_down:
                self.serving.add(asyncio.create_task(self.serve_request()))
        await asyncio.gather(*self.serving, killing)
        await self.stop()

    async def kill_at_times(self):
        loop = asyncio.get_running_loop()
        for moment in self.kills:
            await asyncio.sleep(START_SECONDS + moment - loop.time())
            await self.kill()


@dataclasses.dataclass
class Delivery:
    """A request in flight, and what a stand-in of a caller has got of it."""

    #: Organisation that pays.
    organisation: str
    #: Tokens of the prompt.
    prompt: int
    #: Tokens of its whole output.
    output: int
    #: Seconds in which they are delivered.
    duration: float
    #: Time of the first event; None before.
    begun_at: float | None = None

    def count_spent(self, now):
        """Return what the caller has cost so far: nothing before the first event."""
        if self.begun_at is None:
            return 0
        share = min(1.0, (now - self.begun_at) / self.duration)
        return self.prompt + int(share * self.output)


class LargeRequestFleet(KilledFleet):
    """A fleet with requests that are large against small budgets.

    Some callers leave before or after the first event, some answers are lost.
    """

    #: Shares of callers that leave early, and of answers that are lost.
    leaving_share = 0.1
    lost_share = 0.05

    async def serve(self):
        rng, loop = self.rng, asyncio.get_running_loop()
        name = rng.choices(self.limits, self.weights)[0].name
        kind = rng.choices(LARGE_KINDS, [each.share for each in LARGE_KINDS])[0]
        prompt = min(4 * kind.prompt, int(kind.prompt * rng.lognormvariate(-0.2, 0.6)))
        task = self.choose_daemon(name)
        self.requests += 1
        held = await task.hold(name, prompt + kind.max_output, 1.0, may_pledge=True)
        if held.is_error():
            self.refused += 1
            return
        output = int(rng.uniform(0.1, 0.5) * kind.max_output)
        delivery = Delivery(name, prompt, output, kind.duration)
        self.in_flight[asyncio.current_task()] = delivery
        leaves_after = kind.first_event + kind.duration
        if rng.random() < self.leaving_share:
            leaves_after *= rng.random()
        if rng.random() < self.lost_share or leaves_after <= kind.first_event:
            await asyncio.sleep(min(leaves_after, kind.first_event))
        else:
            await asyncio.sleep(kind.first_event)
            await task.activate(held.ok)
            delivery.begun_at = loop.time()
            await asyncio.sleep(leaves_after - kind.first_event)
        spent = delivery.count_spent(loop.time())
        task.settle(held.ok, spent)
        self.spent[name] += spent

    def record_in_flight(self, name):
        now = asyncio.get_running_loop().time()
        deliveries = [x for x in self.in_flight.values() if x.organisation == name]
        spent = sum(each.count_spent(now) for each in deliveries)
        self.spent[name] += spent
        return spent
