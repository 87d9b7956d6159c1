"""Exchanges of one daemon with the others, by datagrams."""

import asyncio
import math
import random
import secrets
from collections.abc import Callable

from expression import Result
from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.admission import AdmissionGate
from kingcuphead.capacity import CapacityExchange, CapacityReported
from kingcuphead.credit import (
    CreditAsked,
    CreditHanded,
    CreditLedger,
    CreditTask,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.datagrams import (
    MAX_RECEIVERS,
    Datagram,
    DatagramSocket,
    PeerSender,
)
from kingcuphead.dispatch import Dispatcher, RetryAllowance
from kingcuphead.entry._background_tasks import BackgroundTask
from kingcuphead.entry._evacuation_exchange import EvacuationExchange
from kingcuphead.entry._peers import PeerDiscovery
from kingcuphead.forwarding import TargetStated
from kingcuphead.loads import (
    LoadExchange,
    LoadsReported,
    PeerLoads,
    PlacementAnnounced,
    TargetLoad,
)
from kingcuphead.paths import PathMonitor, PeerPaths
from kingcuphead.permits import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitCoordinator,
    PermitExchange,
    ProbeAnswered,
    RoomReported,
    TermsReported,
)
from kingcuphead.platform import (
    TARGETS_TABLE,
    Profile,
    Store,
    StoreTable,
    decode_target,
)
from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    QuarantineExchange,
    QuarantineReported,
    QuarantineSettings,
)
from kingcuphead.resumption import (
    OriginStore,
    ResumptionExchange,
    ServedVersion,
    StreamAsked,
    StreamsBegan,
)
from kingcuphead.targets import Target, TargetDirectory, ZonesAsked, ZonesReported

#: Table of the store that contains the credit rows, in one part per organisation.
CREDIT_TABLE = "credit"
#: Table and part of the store that contain the stamps of the daemons' reserves.
STAMPS_TABLE = "stamps"
STAMPS_PART = "credit"
#: Table of the store that contains the quarantined requests, and its only part.
QUARANTINE_TABLE, QUARANTINE_PART = "quarantine", "all"
#: Table of the store that contains the software versions that serve, and its only part.
VERSIONS_TABLE, VERSIONS_PART = "versions", "all"
#: Table of the store that contains the origins of streams. Its only part has a name
#: that no other table uses, as the store limits the transactions of a part over all
#: tables.
ORIGINS_TABLE, ORIGINS_PART = "origins", "streams"
#: One crash more is required than in daemons that probe their targets, because here a
#: target may also have ended for another reason. Crashes are kept for longer than a
#: quarantine lasts, so that the next one renews it.
QUARANTINE_SETTINGS = QuarantineSettings(
    min_crashed_targets=3, crash_retention=2 * QuarantineSettings().expiry
)


def _identify_instance(profile: Profile) -> str:
    """Return an identity that a later instance of the same name doesn't share."""
    return f"{profile.instance}@{profile.ip}"


class FleetLinks:
    """The components of a daemon that exchange datagrams with other daemons.

    Parameters
    ----------
    profile
        Settings of this process.
    store
        Client of the platform's store.
    directory
        Knows the software versions of targets, and which of them are cold.
    dispatcher
        Chooses targets; its loads are reported.
    peer_loads
        Stores the loads that other daemons report.
    retries
        Retry budget of this daemon, which depends on the size of the fleet.
    rng
        Selects receivers.
    """

    def __init__(
        self,
        profile: Profile,
        store: Store,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        peer_loads: PeerLoads,
        retries: RetryAllowance,
        rng: random.Random,
    ) -> None:
        instance = _identify_instance(profile)
        incarnation = secrets.token_hex(6)
        self._identity = f"{instance}/{incarnation}"
        self._address = (profile.ip, profile.internal_port)
        self._directory = directory
        self._dispatcher = dispatcher
        self._peer_loads = peer_loads
        self._retries = retries
        self._datagrams = DatagramSocket(self._handle_datagram)
        self._sender = PeerSender(self._datagrams, rng)
        self._peers = PeerDiscovery(store, self._address, self._apply_peers)
        #: Which daemons can help if it can't.
        self.peer_paths = PeerPaths(rng)
        #: Called with a target whose answer to another daemon says that it leaves.
        self.report_leaving: Callable[[Target], None] | None = None
        #: Holds requests back until targets have room; None if none wait.
        self.admission: AdmissionGate | None = None
        #: Answers which zones are evacuated, and asks while the store is unavailable.
        self.evacuations: EvacuationExchange | None = None
        #: Load of this daemon, and whether it sheds.
        self.capacity = self._make_capacity(profile)
        #: Whether this daemon can connect to targets itself.
        self.path_monitor = PathMonitor(
            lambda: self.capacity.is_link_full or self.capacity.is_loop_late
        )
        self._loads = self._make_loads()
        ledger = CreditLedger(instance, incarnation)
        self._transfer_endpoint = TransferEndpoint(ledger, self._identity)
        self._transfer_client = self._make_transfer_client(rng)
        #: Holds and settles the credit of organisations.
        self.credit = self._make_credit(ledger, store)
        #: Knows the requests that crashed targets.
        self.quarantine = self._make_quarantine(store)
        #: What targets take from the whole fleet.
        self.permits = self._make_permits(rng)
        #: Knows the software versions that began streams.
        self.resumption = self._make_resumption(store)
        self.apply_profile(profile)
        self._connect_dispatcher()

    def observe_unsent(self, record: Callable[[str], None]) -> None:
        """Set what is called with each message that can't be encoded."""
        self._datagrams.report_unsent = record

    async def open(self) -> None:
        """Start receiving datagrams."""
        await self._datagrams.open(self._address)

    def close(self) -> None:
        """Stop receiving datagrams."""
        self._datagrams.close()

    def list_tasks(self) -> list[BackgroundTask]:
        """Return the tasks that run from the start until the daemon ends."""
        return [
            BackgroundTask("loads", self._loads.run),
            BackgroundTask("permits", self.permits.run),
            BackgroundTask("capacity", self.capacity.run),
        ]

    def list_store_tasks(self) -> list[BackgroundTask]:
        """Return the tasks that read and write tables until the daemon ends."""
        return [
            BackgroundTask("daemons_table", self._peers.run),
            BackgroundTask("quarantine", self.quarantine.run),
            BackgroundTask("resumption", self.resumption.run),
        ]

    def apply_profile(self, profile: Profile) -> None:
        """Apply the limits of the instance and of cold targets."""
        self.capacity.apply_limits(profile.limits.link_mbps, profile.is_constrained)
        self.capacity.is_link_narrow = profile.states_narrow_link
        self.permits.apply_cold_bounds(profile.cold_bounds)

    def _connect_dispatcher(self) -> None:
        """Send what the dispatcher has to announce to other daemons."""
        self._dispatcher.announce = self._loads.trigger_report
        self._dispatcher.announce_placement = self._announce_placement
        self.permits.bounds_memory = self._dispatcher.memory.is_enabled
        self._dispatcher.report_memory = self.permits.report_memory

    def _make_capacity(self, profile: Profile) -> CapacityExchange:
        return CapacityExchange(
            self._identity, profile.zone, self._sender.gossip, self._sender.broadcast
        )

    def _make_loads(self) -> LoadExchange:
        return LoadExchange(
            self._identity,
            self._peer_loads,
            self._dispatcher.list_loads,
            self._sender.send_in_turn,
            lambda: self.path_monitor.is_lost,
        )

    def _make_transfer_client(self, rng: random.Random) -> TransferClient:
        return TransferClient(
            self._transfer_endpoint,
            self._datagrams.send,
            lambda: self._sender.peers,
            rng,
        )

    def _make_credit(self, ledger: CreditLedger, store: Store) -> CreditTask:
        credit = CreditTask(
            ledger,
            lambda name: StoreTable(store, CREDIT_TABLE, name),
            stamp_table=StoreTable(store, STAMPS_TABLE, STAMPS_PART),
        )
        credit.transfer_client = self._transfer_client
        store.report_era = credit.begin_era
        return credit

    def _make_quarantine(self, store: Store) -> QuarantineExchange:
        return QuarantineExchange(
            self._identity,
            QUARANTINE_SETTINGS,
            StoreTable(store, QUARANTINE_TABLE, QUARANTINE_PART),
            self._sender.broadcast,
            self._sender.gossip,
        )

    def _make_permits(self, rng: random.Random) -> PermitExchange:
        return PermitExchange(
            self._address,
            PermitCoordinator(rng),
            self._datagrams.send,
            self._sender.broadcast,
            self._directory,
        )

    def _make_resumption(self, store: Store) -> ResumptionExchange:
        return ResumptionExchange(
            StoreTable(store, VERSIONS_TABLE, VERSIONS_PART),
            self._directory,
            self._sender.broadcast,
            self._sender.gossip,
            OriginStore(StoreTable(store, ORIGINS_TABLE, ORIGINS_PART), self._identity),
            lambda: _read_served_versions(store),
        )

    async def deregister(self) -> None:
        """Remove this daemon from the list of daemons, for good."""
        await self._peers.deregister()

    def _handle_datagram(self, message: Datagram, sender: Address) -> None:
        def reply(answer: Datagram) -> None:
            self._datagrams.send(answer, sender)

        now = asyncio.get_running_loop().time()
        self._peers.record_sender(sender)
        self.permits.ranking.record_message(sender, now)
        match message:
            case LoadsReported() | CapacityReported() | PlacementAnnounced():
                self._apply_load(message, sender, now)
            case CreditAsked():
                reply(self._transfer_endpoint.handle_request(message, now))
            case CreditHanded():
                self._transfer_client.handle_reply(message)
            case CrashReported() | AnswersReported() | QuarantineReported():
                self.quarantine.handle_message(message, reply)
            case (
                PermitAsked()
                | PermitAnswered()
                | CoordinatorProbed()
                | ProbeAnswered()
                | RoomReported()
                | TermsReported()
            ):
                self.permits.handle_message(message, sender)
            case TargetStated():
                self._apply_statement(message)
            case StreamsBegan() | StreamAsked():
                self.resumption.handle_message(message, reply)
            case ZonesAsked() | ZonesReported():
                self._handle_zones(message, reply)

    def ask_zones(self, question: ZonesAsked) -> None:
        """Ask some of the other daemons for the evacuated zones."""
        self._sender.gossip(question)

    def _handle_zones(
        self, message: ZonesAsked | ZonesReported, reply: Callable[[Datagram], None]
    ) -> None:
        if self.evacuations is None:
            return
        match message:
            case ZonesAsked():
                answer = self.evacuations.make_answer()
                if answer is not None:
                    reply(answer)
            case ZonesReported():
                self.evacuations.handle_report(message)

    def _apply_load(
        self,
        message: LoadsReported | CapacityReported | PlacementAnnounced,
        sender: Address,
        now: float,
    ) -> None:
        """Apply what another daemon reports about its load or that of targets."""
        match message:
            case LoadsReported():
                self._loads.handle_report(message)
                self.peer_paths.record_report(sender, message.is_cut_off, now)
                if self.admission is not None:
                    # According to the new loads, targets may have room.
                    self.admission.wake_soon()
            case CapacityReported():
                self.capacity.handle_report(message)
            case PlacementAnnounced():
                self._peer_loads.apply_announcement(message, now)

    def _announce_placement(self, load: TargetLoad) -> None:
        """Announce a large prompt, lest another daemon choose the same engine."""
        self._sender.broadcast(PlacementAnnounced(self._identity, load))

    def report_statement(self, statement: TargetStated, receiver: Address) -> None:
        """Tell a daemon that passed on an answer what the target said in it."""
        self._datagrams.send(statement, receiver)

    def _apply_statement(self, statement: TargetStated) -> None:
        """Apply what a target said in an answer that this daemon passed on."""
        target = self._directory.find(statement.target)
        if target is None:
            return
        # The target may have restarted under the same name since; 0 means unknown.
        if statement.started_at_ms not in (0, target.started_at_ms):
            return
        if statement.pause:
            self.permits.pause(target, statement.pause)
        if statement.is_leaving and self.report_leaving is not None:
            self.report_leaving(target)

    def _apply_peers(self, peers: tuple[Address, ...]) -> None:
        self._sender.peers = peers
        self._loads.apply_report_rounds(math.ceil(len(peers) / MAX_RECEIVERS))
        now = asyncio.get_running_loop().time()
        self.permits.ranking.apply_peers(peers, now)
        self.peer_paths.apply_peers(peers)
        self._dispatcher.apply_daemons(self._address, peers)
        daemons = len(peers) + 1
        self.credit.ledger.apply_fleet_size(daemons)
        self._retries.apply_fleet_size(daemons)
        self.resumption.origins.apply_fleet_size(daemons)
        if self.admission is not None:
            self.admission.bounds.daemons = daemons
            self._dispatcher.daemons = daemons


async def _read_served_versions(store: Store) -> frozenset[ServedVersion] | None:
    """Return the versions of all targets that have an entry; None without a reply."""
    match await store.read_table(TARGETS_TABLE):
        case Result(tag="ok", ok=snapshot):
            targets = (decode_target(row.key, row.value) for row in snapshot.rows)
            return frozenset(
                ServedVersion(target.service, target.software_version)
                for target in targets
                if target is not None
            )
        case Result(error=fault):
            logger.debug("cannot read the entries of targets: {}", fault.message)
    return None
