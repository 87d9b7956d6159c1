import asyncio
import dataclasses
import random

import pytest
from tornado.httputil import HTTPHeaders

from kingcuphead.dispatch import (
    Dispatcher,
    DispatchSettings,
    HedgingPolicy,
    Placement,
    PlacementRequest,
    RetryAllowance,
)
from kingcuphead.forwarding import HedgeRecord, RequestContext, RequestMemory
from kingcuphead.forwarding._attempt import Answered, StreamDelivered
from kingcuphead.forwarding._attempt_driver import AttemptDriver
from kingcuphead.forwarding._attempt_race import AttemptRace
from kingcuphead.forwarding._events import Event
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding.tests._harness import (
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
)
from kingcuphead.loads import PeerLoads
from kingcuphead.platform import PlatformHeaders
from kingcuphead.targets import Availability, Target

HEAD = PlatformHeaders().decode_answer(200, HTTPHeaders(), "POST")
NOT_FOUND = dataclasses.replace(HEAD, status=404)


def place(name):
    """Return the choice of a target."""
    dispatcher = Dispatcher(DispatchSettings("z"), PeerLoads(), random.Random(1))
    target = Target(name, "pool", "127.0.0.1:9", "z", 4, Availability.READY, 1)
    placement = dispatcher.place(PlacementRequest("pool"), [target], (), 0.0)
    assert placement is not None
    return placement


FIRST, SECOND = place("t1"), place("t2")


class ScriptedDriver(AttemptDriver):
    """Attempts that send events and end when the test says so."""

    def __init__(self):
        self.events = {}
        self.ends = {}

    async def run(
        self, context, placement, reservation, stream, report_first_event=lambda: None
    ):
        name = placement.target.name
        self.events[name] = stream.begin_attempt(report_first_event)
        self.ends[name] = asyncio.get_running_loop().create_future()
        try:
            return await self.ends[name]
        finally:
            self.events[name].close()

    def send(self, name, event_id):
        """Send an event; return whether the caller got it."""
        return self.events[name].deliver(HEAD, [Event(event_id, name.encode())])


class Play:
    """A race of two attempts of a stream."""

    def __init__(self):
        self.driver = ScriptedDriver()
        self.caller = RecordingCaller(RequestMemory(covers_requests=True))
        self.withdrawn: list[Placement] = []
        self.context = RequestContext(
            make_request(STREAM), make_route(STREAM), "pool", None, 9.0, 1
        )
        self.context.hedge = HedgeRecord()
        self.race = AttemptRace(
            self.driver,
            HedgingPolicy(1.0, RetryAllowance(1.0, 120.0, 10.0), True),
            self.context,
            self.caller.reservation,
            AnswerStream(self.caller, 0),
            self.withdrawn.append,
        )

    async def start_both(self):
        self.race.start(FIRST)
        self.race.start(SECOND, is_second=True)
        await asyncio.sleep(0)

    def end_with_error(self, name):
        """End an attempt with an answer whose body is held in memory."""
        self.caller.reservation.take_request_bytes(4)
        self.driver.ends[name].set_result(Answered(NOT_FOUND, b"gone"))


def play(scenario):
    async def main():
        async with asyncio.timeout(5):
            await scenario(Play())

    asyncio.run(main())


class TestAttemptRace:
    """Events and ends that fall into one turn of the event loop."""

    def test_an_attempt_that_is_cancelled_before_it_starts_is_withdrawn(self):
        """The target would count it as running for ever."""

        async def scenario(play):
            play.race.start(FIRST)
            await asyncio.sleep(0)
            play.race.start(SECOND, is_second=True)
            assert play.driver.send("t1", 1)
            play.driver.ends["t1"].set_result(StreamDelivered(HEAD))
            assert await play.race.wait() == StreamDelivered(HEAD)
            await play.race.cancel()
            assert play.withdrawn == [SECOND]

        play(scenario)

    def test_it_is_withdrawn_too_if_the_request_is_cancelled_twice(self):
        """A caller may close its connection while a time-out ends the request."""

        async def scenario(play):
            play.race.start(FIRST)
            await asyncio.sleep(0)
            play.race.start(SECOND, is_second=True)
            assert play.driver.send("t1", 1)
            cancelling = asyncio.create_task(play.race.cancel())
            await asyncio.sleep(0)
            cancelling.cancel()
            with pytest.raises(asyncio.CancelledError):
                await cancelling
            assert play.withdrawn == [SECOND]

        play(scenario)

    @pytest.mark.parametrize("turns", [0, 1])
    def test_a_first_event_goes_before_an_answer_that_was_not_used_yet(self, turns):
        async def scenario(play):
            await play.start_both()
            waiting = asyncio.create_task(play.race.wait())
            await asyncio.sleep(0)
            play.end_with_error("t1")
            for _ in range(turns):
                await asyncio.sleep(0)
            assert play.driver.send("t2", 1)
            for _ in range(3):
                await asyncio.sleep(0)
            assert not waiting.done()
            assert play.driver.send("t2", 2)
            play.driver.ends["t2"].set_result(StreamDelivered(HEAD))
            assert await waiting == StreamDelivered(HEAD)
            await play.race.cancel()
            assert play.caller.body == b"t2t2"
            assert play.context.hedge.is_won

        play(scenario)

    def test_no_event_follows_an_answer_that_has_won(self):
        async def scenario(play):
            await play.start_both()
            play.end_with_error("t1")
            assert await play.race.wait() == Answered(NOT_FOUND, b"gone")
            cancelling = asyncio.create_task(play.race.cancel())
            await asyncio.sleep(0)
            assert not play.driver.send("t2", 1)
            await cancelling
            assert (play.caller.status, play.caller.body) == (0, b"")
            assert not play.context.hedge.is_won
            assert play.context.hedge.is_cancelled

        play(scenario)

    def test_the_bytes_of_an_unused_answer_are_given_back(self):
        async def scenario(play):
            await play.start_both()
            play.end_with_error("t1")
            await asyncio.sleep(0)
            assert play.driver.send("t2", 1)
            play.driver.ends["t2"].set_result(StreamDelivered(HEAD))
            await play.race.wait()
            await play.race.cancel()
            assert play.caller.reservation.size == 0

        play(scenario)
