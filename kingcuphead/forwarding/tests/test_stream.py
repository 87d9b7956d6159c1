import functools

import pytest
from tornado.httputil import HTTPHeaders

from kingcuphead.forwarding import _stream
from kingcuphead.forwarding._events import Event
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding._transfer import OTHER_ATTEMPT, EventTransfer
from kingcuphead.forwarding.tests._harness import RecordingCaller
from kingcuphead.platform import PlatformHeaders

HEAD = PlatformHeaders().decode_answer(200, HTTPHeaders(), "POST")


@pytest.fixture(autouse=True)
def stopped_clock(monkeypatch):
    monkeypatch.setattr(_stream, "get_time", lambda: 0.0)


class TestAnswerStream:
    """Events of two attempts that arrive in the same turn of the event loop."""

    def make_streams(self):
        caller = RecordingCaller()
        stream = AnswerStream(caller, 0)
        starts: list[int] = []
        attempts = [
            stream.begin_attempt(functools.partial(starts.append, number))
            for number in (1, 2)
        ]
        return caller, stream, attempts, starts

    def test_only_events_of_the_first_sender_are_sent(self):
        caller, _, (first, second), starts = self.make_streams()
        assert second.deliver(HEAD, [Event(1, b"2")])
        # It directly follows the last event, but is of another run.
        assert not first.deliver(HEAD, [Event(2, b"1")])
        assert second.deliver(HEAD, [Event(2, b"2")])
        assert (caller.body, starts) == (b"22", [2])

    def test_a_loser_sends_nothing_after_the_end_of_the_sender(self):
        caller, _, (first, second), _ = self.make_streams()
        assert second.deliver(HEAD, [Event(1, b"2")])
        second.close()
        assert not first.deliver(HEAD, [Event(2, b"1")])
        assert not first.finish(HEAD)
        assert (caller.body, caller.end) == (b"2", "")

    def test_an_attempt_after_the_end_of_the_sender_goes_on(self):
        caller, stream, (_, second), _ = self.make_streams()
        assert second.deliver(HEAD, [Event(1, b"2")])
        second.close()
        third = stream.begin_attempt(lambda: None)
        assert third.deliver(HEAD, [Event(2, b"3")])
        assert caller.body == b"23"

    def test_an_attempt_beside_the_sender_sends_nothing(self):
        caller, stream, (_, second), _ = self.make_streams()
        assert second.deliver(HEAD, [Event(1, b"2")])
        third = stream.begin_attempt(lambda: None)
        assert not third.deliver(HEAD, [Event(2, b"3")])
        assert second.deliver(HEAD, [Event(2, b"2")])
        assert caller.body == b"22"

    def test_closed_attempts_send_nothing(self):
        """A complete answer has won, or the request has ended."""
        caller, stream, attempts, _ = self.make_streams()
        stream.close_attempts()
        for attempt in attempts:
            assert not attempt.deliver(HEAD, [Event(1, b"x")])
            assert not attempt.finish(HEAD)
        assert (caller.status, caller.body, caller.end) == (0, b"", "")

    def test_an_event_out_of_sequence_does_not_win(self):
        caller, _, (first, second), starts = self.make_streams()
        transfer = EventTransfer(HEAD, first)
        assert not transfer.consume(b"id: 2\n\n")
        assert not starts
        assert EventTransfer(HEAD, second).consume(b"id: 1\n\n")
        assert caller.body == b"id: 1\n\n"

    def test_a_transfer_that_has_lost_takes_no_more(self):
        caller, _, (first, second), _ = self.make_streams()
        loser = EventTransfer(HEAD, first)
        assert EventTransfer(HEAD, second).consume(b"id: 1\n\n")
        assert not loser.consume(b"id: 2\n\n")
        assert loser.fault == OTHER_ATTEMPT
        assert caller.body == b"id: 1\n\n"
