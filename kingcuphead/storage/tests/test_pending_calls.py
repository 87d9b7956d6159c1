import asyncio

import pytest

from kingcuphead.storage import PendingCall, PendingCalls


def make_calls(*sent_at):
    """Return pending calls of a store that replied last at 10 s."""
    pending = PendingCalls()
    list(pending.record_reply(9.996, 10.0))
    calls = [PendingCall(each, asyncio.Future(loop=LOOP)) for each in sent_at]
    for call in calls:
        pending.begin(call)
    return pending, calls


LOOP = asyncio.new_event_loop()


class TestPendingCalls:
    """Guards against calls that wait for their timeouts after an outage has ended."""

    def test_calls_sent_during_an_outage_are_lost(self):
        pending, calls = make_calls(10.5, 13.0)
        lost = set(pending.record_reply(14.0, 14.004))
        assert lost == set(calls)

    def test_recent_calls_are_lost_once_they_are_overdue(self):
        pending, calls = make_calls(13.9)
        assert not list(pending.record_reply(14.0, 14.004))
        assert list(pending.record_reply(14.3, 14.304)) == calls

    @pytest.mark.parametrize("seconds", [0.9, 1.5, 1.9])
    def test_calls_to_a_slow_store_are_not_lost(self, seconds):
        """Repeating them would slow it further."""
        pending, _ = make_calls(10.1, 10.9)
        assert not list(pending.record_reply(11.0, 11.0 + seconds))

    def test_a_slow_call_beside_fast_ones_is_not_lost(self):
        pending, _ = make_calls(10.1)
        replies = (10.2, 10.6, 11.2, 12.0)
        lost = [list(pending.record_reply(each - 0.004, each)) for each in replies]
        assert not any(lost)

    def test_nothing_is_lost_at_the_first_reply(self):
        """At a start all daemons read large tables at the same time."""
        pending = PendingCalls()
        pending.begin(PendingCall(1.0, asyncio.Future(loop=LOOP)))
        assert not list(pending.record_reply(3.0, 3.004))
