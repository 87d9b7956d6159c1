"""The asynchronous side of admission: waits of requests, wake-ups and the timer."""

import asyncio
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Protocol

from loguru import logger

from kingcuphead.admission._answer_times import AnswerTimes
from kingcuphead.admission._bounds import QueueBounds
from kingcuphead.admission._messages import (
    AdmissionRequest,
    Admitted,
    Decision,
    QueueFigures,
    Refused,
    Rejection,
)
from kingcuphead.admission._service_admission import ServiceAdmission
from kingcuphead.dispatch import PlacementRequest, RoomCheck
from kingcuphead.targets import Target
from kingcuphead.timing import get_time
from kingcuphead.verdict import Reason

#: Seconds between two checks for room while requests wait.
TIMER_INTERVAL = 0.02
#: Seconds after a load report at which room is checked for, once for all reports that
#: arrive meanwhile.
REPORT_DELAY = 0.005
#: Seconds after which a caller refused during shutdown may retry, at another daemon.
SHUTDOWN_RETRY_AFTER = 0.05


class RoomQuery(Protocol):
    """Describes a request to the dispatcher."""

    @property
    def group(self) -> str:
        """Equal for requests of a service that have the same candidates."""
        ...

    def list_candidates(self) -> tuple[Target, ...]:
        """Return the targets that may run the request now."""
        ...

    def make_placement_request(self) -> PlacementRequest:
        """Return the properties on which the choice of a target depends."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class _Wait:
    """A request that waits for its decision."""

    #: Describes the request to the dispatcher.
    query: RoomQuery
    #: Set when the request is admitted or refused.
    decision: asyncio.Future[Decision]


class AdmissionGate:
    """Lets requests through when targets have room for them.

    Parameters
    ----------
    room
        Tells whether targets have room.
    bounds
        Bounds on the waiting requests.
    """

    def __init__(self, room: RoomCheck, bounds: QueueBounds) -> None:
        self._room = room
        self._services: dict[str, ServiceAdmission] = {}
        self._waits: dict[str, _Wait] = {}
        #: Request of each service that was admitted but not yet counted at a target.
        self._in_transit: dict[str, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        #: Bounds on the waiting requests.
        self.bounds = bounds
        #: Time from admission to the first answer.
        self.answer_times = AnswerTimes()

    def count_waiting(self) -> Iterator[tuple[str, int]]:
        """Yield the number of waiting requests of each service seen so far."""
        for name, service in self._services.items():
            yield name, len(service.queue)

    async def enter(self, request: AdmissionRequest, query: RoomQuery) -> Decision:
        """Wait until a request is admitted or refused.

        The caller has to count an admitted request at a target before it awaits
        anything; requests behind it may be admitted from then on.

        Parameters
        ----------
        request
            The request.
        query
            Describes it to the dispatcher.
        """
        now = get_time()
        service = self._get_service(request.service)
        candidates = query.list_candidates()
        if not len(service.queue) and self._is_admissible(
            query, candidates, request, now, yields_to_timely=False
        ):
            service.record_direct(request, now)
            return Admitted()
        if self._is_closed:
            return _refuse_at_shutdown(request, now)
        return await self._wait(service, request, query, candidates)

    def wake(self, service_name: str | None = None) -> None:
        """Admit waiting requests if there is room now.

        Parameters
        ----------
        service_name
            Service that may have got room; None for any.
        """
        names = tuple(self._services) if service_name is None else (service_name,)
        for name in names:
            self._admit_next(name)

    def wake_soon(self) -> None:
        """Admit waiting requests if there is room after load reports."""
        if self._report_timer is None and self._waits:
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(REPORT_DELAY, self._handle_reports)

    def _handle_reports(self) -> None:
        self._report_timer = None
        self.wake()

    def close(self) -> None:
        """Refuse all waiting requests, and later ones that would have to wait."""
        self._is_closed = True
        now = get_time()
        for service in self._services.values():
            for request in tuple(service.queue.iterate()):
                service.withdraw(request.request_id, now)
                self._decide(request, _refuse_at_shutdown(request, now))
        for timer in (self._timer, self._report_timer):
            if timer is not None:
                timer.cancel()
        self._timer = self._report_timer = None

    async def _wait(
        self,
        service: ServiceAdmission,
        request: AdmissionRequest,
        query: RoomQuery,
        candidates: tuple[Target, ...],
    ) -> Decision:
        decision: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waits[request.request_id] = _Wait(query, decision)
        service.push(request, get_time())
        try:
            self._admit_next(request.service)
            if not decision.done():
                limit = self.bounds.count_requests(candidates)
                running = self._room.count_own(candidates)
                now = get_time()
                self._refuse(service.review_arrival(request, limit, running, now))
                self._refuse(self._review_bodies())
                self._start_timer()
            return await decision
        finally:
            self._waits.pop(request.request_id, None)
            service.withdraw(request.request_id, get_time())
            if self._in_transit.get(request.service) == request.request_id:
                # Runs after the caller has counted the request at a target.
                asyncio.get_running_loop().call_soon(self._end_transit, request)

    def _admit_next(self, name: str) -> None:
        """Admit the next request of a service if there is room for it.

        Only one at a time is admitted, as the dispatcher counts it when it is placed.
        """
        service = self._services.get(name)
        if service is None or not len(service.queue) or name in self._in_transit:
            return
        now = get_time()
        full_groups: dict[str, bool] = {}
        request = service.admit(
            lambda each, yields_to_timely: self._has_room(
                each, yields_to_timely, full_groups, now
            ),
            now,
        )
        if request is not None:
            self._in_transit[name] = request.request_id
            self._decide(request, Admitted())

    def _end_transit(self, request: AdmissionRequest) -> None:
        if self._in_transit.get(request.service) == request.request_id:
            del self._in_transit[request.service]
            self._admit_next(request.service)

    def _has_room(
        self,
        request: AdmissionRequest,
        yields_to_timely: bool,
        full_groups: dict[str, bool],
        now: float,
    ) -> bool:
        """Return whether there is room for a waiting request.

        Parameters
        ----------
        request
            The request.
        yields_to_timely
            Whether timely requests of other daemons go first.
        full_groups
            Whether a group of targets has no room at all; kept for the requests of one
            admission.
        now
            Current time in seconds.
        """
        query = self._waits[request.request_id].query
        if query.group not in full_groups:
            candidates = query.list_candidates()
            full_groups[query.group] = bool(candidates) and not self._room.has_room(
                PlacementRequest(
                    request.service,
                    prompt_tokens=min(1, query.make_placement_request().prompt_tokens),
                    objective_ends_at=now,
                    waiting_since=float("-inf"),
                ),
                candidates,
                now,
            )
        if full_groups[query.group]:
            return False
        candidates = query.list_candidates()
        return self._is_admissible(
            query, candidates, request, now, yields_to_timely=yields_to_timely
        )

    def _is_admissible(
        self,
        query: RoomQuery,
        candidates: tuple[Target, ...],
        request: AdmissionRequest,
        now: float,
        *,
        yields_to_timely: bool,
    ) -> bool:
        """Return whether a request may go on.

        Without a target it may, so that it is refused as it is without a queue.
        """
        if not candidates:
            return True
        described = query.make_placement_request()
        objective_ends_at = request.objective_ends_at
        if request.last_start_in_time <= now:
            objective_ends_at = now
        placement = dataclasses.replace(described, objective_ends_at=objective_ends_at)
        waiting = placement
        if not yields_to_timely:
            # Late requests would go ahead of timely ones of other daemons.
            waiting = dataclasses.replace(placement, waiting_since=request.arrived_at)
        service = self._get_service(request.service)
        limit = service.get_concurrency_limit(query.group)
        if limit.is_due(now):
            limit.update(self._room.describe_load(described, candidates), now)
        own = self._room.count_own(candidates)
        if limit.allows(own, yields_to_timely) and self._room.has_room(
            placement, candidates, now
        ):
            return True
        # Else all daemons that wait would ignore the reports of each other.
        if limit.has_equal_share(own):
            return False
        return self._room.accepts_on_old_reports(waiting, candidates, now)

    def _review_bodies(self) -> Iterator[Rejection]:
        """Yield what is refused for want of memory, the least urgent first."""
        services = self._services.values()
        while sum(each.queue.body_bytes for each in services) > self.bounds.body_bytes:
            lowest = max(
                (each for each in services if len(each.queue)),
                key=lambda each: max(each.queue.ranks),
            )
            yield lowest.reject_last(get_time())

    def _refuse(self, rejections: Iterable[Rejection]) -> None:
        for rejection in rejections:
            self._decide(rejection.request, rejection.refused)

    def _decide(self, request: AdmissionRequest, decision: Decision) -> None:
        wait = self._waits.get(request.request_id)
        if wait is not None and not wait.decision.done():
            wait.decision.set_result(decision)

    def _start_timer(self) -> None:
        if self._timer is None and not self._is_closed:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TIMER_INTERVAL, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        try:
            for name, service in self._services.items():
                self._admit_next(name)
                self._refuse(service.review(get_time()))
        finally:
            # A request whose timer has stopped would wait forever.
            if any(len(service.queue) for service in self._services.values()):
                self._start_timer()

    def _get_service(self, name: str) -> ServiceAdmission:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceAdmission()
            logger.debug("admission queue of service {} created", name)
        return service


def _refuse_at_shutdown(request: AdmissionRequest, now: float) -> Refused:
    figures = QueueFigures(0, 0, None, request.last_start - now)
    return Refused(Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER, figures)
