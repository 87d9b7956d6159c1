import asyncio
import random

from expression import Ok
from tornado.httputil import HTTPHeaders

from kingcuphead.credit import CreditLedger, CreditTask
from kingcuphead.dispatch import Dispatcher, DispatchSettings, RetryAllowance
from kingcuphead.forwarding import (
    AttemptRunner,
    CallerRequest,
    ConnectionPool,
    Dependencies,
    EvidenceRecorder,
    RequestForwarder,
    RequestMemory,
    TargetWatch,
    connect_to_target,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.loads import PeerLoads
from kingcuphead.permits import PermitCoordinator, PermitExchange
from kingcuphead.platform import PlatformHeaders
from kingcuphead.quarantine import QuarantineExchange, QuarantineSettings
from kingcuphead.resumption import OriginStore, ResumptionExchange
from kingcuphead.routing import (
    CallerLimits,
    Organisation,
    RequestKind,
    Route,
    RoutingConfiguration,
    RoutingTable,
    WeightedService,
)
from kingcuphead.storage import Committed, RowSnapshot
from kingcuphead.targets import TargetDirectory

DISPATCH_SETTINGS = DispatchSettings("z")
QUARANTINE_SETTINGS = QuarantineSettings(min_crashed_targets=3)


class CommittingTable:
    """An empty credit table in which every transaction commits."""

    def __init__(self):
        self.version = 0

    async def commit(self, transaction):
        self.version += 1
        return Committed(self.version)

    async def read_prefix(self, prefix):
        return Ok(RowSnapshot((), 0))

    def estimate_time(self):
        return 1

    def bound_time(self, moment):
        return 1


class DirectConnector:
    """Connects on the daemon's own path; there is no other daemon."""

    uses_idle_connections = True

    async def connect(self, address, timeout):
        return await connect_to_target(address, timeout)

    async def confirm_refusal(self, address, timeout):
        return True


class RecordingCaller:
    """Records the answer; `end` is `finished` or `aborted` after its end."""

    def __init__(self, memory=None):
        self.reservation = (memory or RequestMemory()).open()
        self.status = 0
        self.headers = None
        self.body = b""
        self.end = ""

    is_congested = False

    @property
    def is_started(self):
        return bool(self.status)

    def start(self, status, headers):
        assert not self.status, "start() was called twice"
        self.status, self.headers = status, headers

    def send(self, chunk):
        self.body += chunk

    async def drain(self):
        pass

    def finish(self):
        self.end = "finished"

    def abort(self):
        self.end = "aborted"


def make_route(kind, attempts=2, resumable=False, timeout=2.0, objective=0.2):
    return Route(
        name=kind.value,
        host="h",
        prefix=f"/{kind.value}/",
        kind=kind,
        services=(WeightedService("pool", 1),),
        timeout=timeout,
        objective=objective,
        event_gap_objective=0.1,
        rank=0,
        max_attempts=attempts,
        is_anonymous=False,
        is_resumable=resumable,
    )


def make_request(kind, size=None, request_id="r1", **changes):
    values = {
        "request_id": request_id,
        "method": "POST",
        "uri": f"/{kind.value}/x?y=1",
        "host": "h",
        "headers": HTTPHeaders({"Attempt-Id": request_id, "Host": "h"}),
        "body": b"body",
        "key": "k",
        "timeout": None,
        "size": size,
        "resume_after": 0,
        "arrived_at": asyncio.get_running_loop().time(),
    }
    return CallerRequest(**{**values, **changes})


class Harness:
    """A request forwarder with two scripted targets, which prefers `first`."""

    def __init__(
        self,
        routes,
        prepaid=None,
        admission=None,
        dispatch_settings=DISPATCH_SETTINGS,
    ):
        self.dispatch_settings = dispatch_settings
        self.first, self.second = ScriptedTarget("t1"), ScriptedTarget("t2")
        self.routes = routes
        self.ended = []
        self.prepaid = prepaid
        self.admission = admission
        self.broadcasts = []

    async def __aenter__(self):
        self.directory = TargetDirectory()
        self.directory.record_read(0.0)
        self.targets = [await each.start() for each in (self.first, self.second)]
        for target in self.targets:
            list(self.directory.put(target))
        self.pool = ConnectionPool(DirectConnector())
        self.memory = RequestMemory()
        self.permits = PermitExchange(
            ("10.0.0.1", 1),
            PermitCoordinator(random.Random(1)),
            lambda message, receiver: None,
            self.broadcasts.append,
        )
        self.permits.ranking.apply_peers((), 0.0)
        ledger = CreditLedger("d1", "incarnation-1")
        self.organisation = Organisation("atelier", None, self.prepaid)
        ledger.apply_limits([self.organisation], 1)
        self.ledger = ledger
        self.credit = CreditTask(ledger, lambda name: CommittingTable())
        self.renewal = asyncio.create_task(self.credit.run())
        self.dispatcher = Dispatcher(
            self.dispatch_settings, PeerLoads(), OrderPreservingRandom()
        )
        self.quarantine = QuarantineExchange(
            "d1/1",
            QUARANTINE_SETTINGS,
            CommittingTable(),
            self.broadcasts.append,
            lambda message: None,
        )
        self.watch = TargetWatch(self.pool, self.directory)
        self.resumption = ResumptionExchange(
            CommittingTable(),
            self.directory,
            self.broadcasts.append,
            self.broadcasts.append,
            OriginStore(CommittingTable(), "d1/1"),
        )
        self.enable_hedging(None)
        return self

    def enable_hedging(self, hedging):
        """Serve requests with a policy of second attempts; None for none."""
        self.forwarder = RequestForwarder(
            Dependencies(
                self.directory,
                self.dispatcher,
                RetryAllowance(0.0, 120.0, 10.0),
                self.credit,
                AttemptRunner(self.pool, PlatformHeaders()),
                self.quarantine,
                EvidenceRecorder(self.quarantine, self.watch),
                self.resumption,
                self.handle_leaving,
                lambda message, receiver: None,
                self.permits,
                self.admission,
                hedging,
            ),
            random.Random(1),
            lambda context, refusal: self.ended.append((context, refusal)),
        )
        self.forwarder.apply(
            RoutingTable(
                RoutingConfiguration(
                    1,
                    tuple(self.routes),
                    {},
                    {"atelier": self.organisation},
                    {"k": "atelier"},
                    CallerLimits(),
                )
            )
        )

    def handle_leaving(self, target):
        list(self.directory.mark_leaving(target))

    async def __aexit__(self, *error):
        self.renewal.cancel()
        self.watch.close()
        self.pool.close()
        self.first.stop()
        self.second.stop()

    async def serve(self, request):
        caller = RecordingCaller(self.memory)
        refusal = await self.forwarder.serve(request, caller)
        caller.reservation.close()
        return caller, refusal


class OrderPreservingRandom(random.Random):
    """Samples the first elements in order, so that the choice of target is fixed."""

    def sample(self, population, k, *, counts=None):
        return list(population)[:k]


def run(routes, scenario, prepaid=None, **options):
    async def main():
        async with asyncio.timeout(20), Harness(routes, prepaid, **options) as harness:
            await scenario(harness)

    asyncio.run(main())


IDEMPOTENT = RequestKind.IDEMPOTENT
ONCE = RequestKind.AT_MOST_ONCE
STREAM = RequestKind.STREAM
