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
