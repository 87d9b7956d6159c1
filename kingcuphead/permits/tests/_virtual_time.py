"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors

#: Minimum seconds by which a round of the loop advances the time. The loop runs a timer
#: slightly early; one that is then set again for the same moment would run forever.
MIN_STEP = 1e-9


class JumpingSelector(selectors.SelectSelector):
    """Returns at once and counts the seconds that a caller would have waited."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return no events; only timers occur."""
        assert timeout is not None, "the loop waits for nothing"
        self.now += max(MIN_STEP, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines on the clock of a `JumpingSelector`."""

    def __init__(self):
        self._clock = JumpingSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.now


def run(coroutine):
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(coroutine)
