import asyncio
import random

import pytest

from kingcuphead.timing import compute_next_tick, sleep_until_tick


class TestTicks:
    @pytest.mark.parametrize("period", [0.1, 0.2, 0.25, 1.0, 5.0])
    def test_the_next_tick_is_later_by_a_period_at_most(self, period):
        """Guards against a task that runs twice in a tick, or skips one."""
        rng = random.Random(1)
        now = rng.uniform(0.0, 1e6)
        for _ in range(10_000):
            tick = compute_next_tick(period, now)
            assert now < tick <= now + period * 1.000_001
            now = tick

    @pytest.mark.parametrize("now", [0.3, 1e3, 1e6])
    def test_ticks_of_multiples_coincide(self, now):
        """Guards against a wakeup of the event loop for each of them."""
        tick = compute_next_tick(1.0, now)
        for period in (0.1, 0.2, 0.25, 0.5):
            before = tick - period / 2
            # The event loop runs timers that are due within a nanosecond together.
            assert compute_next_tick(period, before) == pytest.approx(tick, abs=1e-9)

    def test_a_sleep_ends_at_the_tick(self):
        async def run():
            await sleep_until_tick(0.05)
            started_at = asyncio.get_running_loop().time()
            lag = await sleep_until_tick(0.05)
            return asyncio.get_running_loop().time() - started_at, lag

        seconds, lag = asyncio.run(run())
        assert lag >= 0.0
        assert seconds <= 0.05 + lag + 0.001
