import asyncio
import time

import pytest

from kingcuphead.capacity import TimedSelector


class TestTimedSelector:
    @pytest.mark.parametrize(
        ("idle", "busy"), [(0.2, 0.0), (0.2, 0.2), (0.1, 0.2)], ids=str
    )
    def test_only_the_time_of_callbacks_counts(self, idle, busy):
        """Guards against waits that count as load of the processor."""
        selector = TimedSelector()

        async def work():
            await asyncio.sleep(idle)
            began_at = selector.get_busy_seconds()
            end = time.monotonic() + busy
            while time.monotonic() < end:
                pass
            spent = selector.get_busy_seconds() - began_at
            began_at = selector.get_busy_seconds()
            started_at = time.monotonic()
            await asyncio.sleep(idle)
            waited = time.monotonic() - started_at
            return spent, selector.get_busy_seconds() - began_at, waited

        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            spent, busy_in_wait, waited = runner.run(work())
        assert spent >= busy
        assert busy_in_wait <= 0.5 * waited

    def test_the_longest_turn_shows_for_some_seconds(self):
        """Guards against a late event loop that no metric shows."""
        selector = TimedSelector()

        async def work():
            await asyncio.sleep(0.05)
            end = time.monotonic() + 0.2
            while time.monotonic() < end:
                pass
            await asyncio.sleep(0.05)
            return selector.longest_turn

        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            assert runner.run(work()) >= 0.2
