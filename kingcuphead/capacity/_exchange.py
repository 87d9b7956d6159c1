"""Measures this daemon's load, tells the other daemons, and sheds load."""

import asyncio
import dataclasses
from collections.abc import Callable

from loguru import logger

from kingcuphead.capacity._connections import CallerConnections
from kingcuphead.capacity._decisions import (
    CloseRequested,
    DeflectionBegan,
    Effect,
    Observation,
    SheddingBegan,
    UnreadyEnded,
)
from kingcuphead.capacity._link_log import LinkLog
from kingcuphead.capacity._messages import CapacityReported, Readiness
from kingcuphead.capacity._meter import (
    LoadMeter,
    OwnLoad,
    Sample,
)
from kingcuphead.capacity._schedule import Receivers, ReportSchedule
from kingcuphead.capacity._shedder import LoadShedder
from kingcuphead.capacity._traffic import LINK_TRAFFIC
from kingcuphead.capacity._zone_loads import ZoneLoads
from kingcuphead.timing import get_time, sleep_until_tick

#: Seconds between two samples of the load.
SAMPLE_INTERVAL = 0.2
#: Load of the link from which on new connections open late.
FULL_LINK_LOAD = 0.85
#: Load that is the whole capacity.
FULL_LOAD = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityFigures:
    """Figures for metrics."""

    #: Load of this daemon.
    load: OwnLoad
    #: Total number of connections closed to shed load.
    closed_connections: int
    #: Total seconds in which this daemon was unready to shed load.
    unready_seconds: float


class CapacityExchange:
    """Runs the load shedder of this daemon; does nothing until it is enabled.

    Parameters
    ----------
    sender
        Identity of this incarnation of the daemon.
    zone
        Availability zone of this daemon.
    gossip
        Sends a report to some other daemons.
    broadcast
        Sends a report to all other daemons.
    """

    def __init__(
        self,
        sender: str,
        zone: str,
        gossip: Callable[[CapacityReported], None],
        broadcast: Callable[[CapacityReported], None],
    ) -> None:
        self._sender = sender
        self._zone = zone
        self._gossip = gossip
        self._broadcast = broadcast
        self._enabled = asyncio.Event()
        self._number = 0
        self._schedule = ReportSchedule()
        self._load = OwnLoad()
        self._meter: LoadMeter | None = None
        self._zone_loads = ZoneLoads(zone)
        self._shedder: LoadShedder | None = None
        self._link_log: LinkLog | None = None
        #: Whether the settings state a link that callers may fill.
        self.is_link_narrow = False
        #: Connections of callers.
        self.connections = CallerConnections()
        #: Returns the total seconds in which the event loop was busy.
        self.read_busy_seconds: Callable[[], float] = lambda: 0.0
        #: Returns whether this daemon is ready, shedding apart.
        self.is_serving: Callable[[], bool] = lambda: True
        #: Called with the figures for metrics after each report.
        self.record: Callable[[CapacityFigures], None] = lambda figures: None

    @property
    def is_unready(self) -> bool:
        """Whether this daemon accepts no new connections, to shed or deflect load."""
        return self._shedder is not None and self._shedder.fails_checks(get_time())

    @property
    def is_link_full(self) -> bool:
        """Whether a narrow link is used to capacity; never if disabled.

        The capacity of a link that the settings don't state is only assumed.
        """
        is_measured = self.is_link_narrow and self._meter is not None
        return is_measured and self._load.link >= FULL_LINK_LOAD

    @property
    def is_loop_late(self) -> bool:
        """Whether the event loop is so late that calls of this daemon time out."""
        return self._meter is not None and self._load.lag >= FULL_LOAD

    def apply_limits(self, link_mbps: float, is_enabled: bool) -> None:
        """Apply the settings of the process.

        Parameters
        ----------
        link_mbps
            Capacity of the instance's link in Mbit/s, each way.
        is_enabled
            Whether this daemon measures its load, reports it and sheds.
        """
        if not is_enabled:
            self._enabled.clear()
            self._shedder = self._meter = None
            self.connections.unmark()
            return
        if self._meter is None:
            self._meter = LoadMeter(link_mbps)
        self._meter.apply_link(link_mbps)
        self._enabled.set()

    async def run(self) -> None:
        """Measure, report and shed load until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._enabled.wait()
            lag = await sleep_until_tick(SAMPLE_INTERVAL)
            self.tick(loop.time(), lag, self.read_busy_seconds())

    def tick(self, now: float, lag: float, busy_seconds: float) -> None:
        """Take a sample and apply what follows from it.

        Parameters
        ----------
        now
            Time in seconds.
        lag
            Seconds by which the call is late.
        busy_seconds
            Total seconds in which the event loop was busy.
        """
        if self._meter is None:
            return
        if self._shedder is None:
            self._shedder = LoadShedder(self._sender, self._zone_loads, now)
        if self._link_log is None:
            self._link_log = LinkLog(LINK_TRAFFIC, now)
        traffic = LINK_TRAFFIC
        self._load = self._meter.measure(
            Sample(now, busy_seconds, traffic.sent, traffic.received, lag)
        )
        self._link_log.step(self.is_link_full, now)
        self._zone_loads.expire(now)
        self.connections.rotate(now)
        observation = Observation(
            now, self._load.peak, self.is_serving(), self.connections.marked_count
        )
        for effect in self._shedder.step(observation):
            self._apply(effect)
        self._report(observation, self._shedder)

    def handle_report(self, report: CapacityReported) -> None:
        """Store a report received from another daemon."""
        self._zone_loads.apply_report(report, get_time())

    def record_check(self, is_ready: bool) -> None:
        """Record an answer to a readiness check of the platform."""
        if self._shedder is not None:
            self._shedder.record_check(is_ready, get_time())

    def describe_load(self) -> dict[str, float]:
        """Return the load of this daemon as log fields."""
        return _describe_load(self._load)

    def _apply(self, effect: Effect) -> None:
        match effect:
            case SheddingBegan():
                self._log_begin("load shedding began", effect)
            case DeflectionBegan():
                self._log_begin("load deflection began", effect)
            case CloseRequested(share):
                chosen = self.connections.mark(share)
                logger.bind(share=round(share, 3), connections=chosen).info(
                    "closing connections of callers after their answers"
                )
            case UnreadyEnded():
                self._log_end(effect)
                self.connections.unmark()

    def _report(self, observation: Observation, shedder: LoadShedder) -> None:
        readiness = shedder.readiness
        if not observation.is_serving:
            readiness = Readiness.UNREADY
        receivers = self._schedule.choose_receivers(readiness, observation.now)
        if receivers is None:
            return
        self._number += 1
        load = shedder.get_reported_load(observation.load)
        report = CapacityReported(
            self._sender, self._number, self._zone, load, readiness
        )
        if receivers is Receivers.ALL:
            self._broadcast(report)
        else:
            self._gossip(report)
            self._record_figures(shedder)

    def _record_figures(self, shedder: LoadShedder) -> None:
        figures = CapacityFigures(
            self._load, self.connections.closed, shedder.unready_budget.total
        )
        self.record(figures)

    def _log_begin(self, text: str, began: SheddingBegan | DeflectionBegan) -> None:
        overload = began.overload
        logger.bind(
            **_describe_load(self._load),
            median=round(overload.median, 3),
            threshold=round(overload.threshold, 3),
            others=overload.others,
            unready=began.unready,
            allowed=began.allowed,
        ).info(text)

    def _log_end(self, ended: UnreadyEnded) -> None:
        subject = "load shedding" if ended.was_shedding else "load deflection"
        logger.bind(
            **_describe_load(self._load),
            reason=ended.reason.value,
            seconds=round(ended.seconds, 3),
            still_open=self.connections.marked_count,
        ).info(f"{subject} ended")


def _describe_load(load: OwnLoad) -> dict[str, float]:
    return {
        "link": round(load.link, 3),
        "processor": round(load.processor, 3),
        "lag": round(load.lag, 3),
    }
