"""The load and the speed of one target, as one daemon sees them."""

import dataclasses
from collections import OrderedDict

from kingcuphead.dispatch._health import TargetHealth
from kingcuphead.dispatch._messages import DispatchSettings, Work
from kingcuphead.targets import Target

#: Shared starts that are remembered for each target.
MAX_STARTS = 512
#: Seconds for which a shared start that was sent is taken to be in memory.
START_LIFETIME = 20.0
#: Weight of the newest observation in the slowness.
SLOWNESS_WEIGHT = 0.2
#: Bounds of the slowness.
LEAST_SLOWNESS, MOST_SLOWNESS = 0.5, 20.0
#: Seconds to a first byte that nothing is learnt from, since they are mostly network.
UNMEASURABLE = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """How a target gets the prompt of a request."""

    #: Prompt tokens that it has to read.
    unread_tokens: int
    #: Tokens that it copies from the memory of another target.
    copied_tokens: int = 0
    #: That other target.
    source: Target | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """A request at a target."""

    #: The target.
    target: Target
    #: What is known of this life of the target.
    state: "TargetState"
    #: How it most likely gets the prompt.
    reading: Reading
    #: Time of placement in seconds.
    placed_at: float
    #: Expected seconds to the first byte at a target of ordinary speed.
    expected_wait: float
    #: Whether every daemon would choose this target for the shared start.
    is_home: bool
    #: Cost of the choice.
    cost: float
    #: Whether the answer began.
    is_started: bool = False


class TargetState:
    """Counts what is at one life of a target.

    Parameters
    ----------
    started_at_ms
        Start of this life of the target.
    settings
        How targets are compared.
    """

    def __init__(self, started_at_ms: int, settings: DispatchSettings) -> None:
        self._settings = settings
        self._starts: OrderedDict[str, float] = OrderedDict()
        #: Start of this life of the target.
        self.started_at_ms = started_at_ms
        #: Requests that it has from this daemon.
        self.running = 0
        #: Prompt tokens of those whose answers have not begun.
        self.unread_tokens = 0
        #: How much slower it is than expected.
        self.slowness = 1.0
        #: What outcomes say about it.
        self.health = TargetHealth()

    def count_held(self, work: Work, now: float) -> int:
        """Return the tokens of the shared start that this daemon has sent to it."""
        for start in reversed(work.shared):
            sent_at = self._starts.get(start.key)
            if sent_at is not None and now - sent_at < START_LIFETIME:
                return min(start.tokens, work.prompt_tokens)
        return 0

    def add(self, placement: Placement, work: Work, now: float) -> None:
        """Count a request that is sent to it."""
        self.running += 1
        self.unread_tokens += placement.reading.unread_tokens
        for start in work.shared:
            self._starts[start.key] = now
            self._starts.move_to_end(start.key)
        while len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)

    def start(self, placement: Placement, now: float) -> None:
        """Take note that an answer began."""
        self.unread_tokens -= placement.reading.unread_tokens
        self._learn_speed(placement, now)

    def remove(self, placement: Placement) -> None:
        """Take note that an attempt ended."""
        self.running -= 1
        if not placement.is_started:
            self.unread_tokens -= placement.reading.unread_tokens

    def _learn_speed(self, placement: Placement, now: float) -> None:
        seconds = now - placement.placed_at
        expected = UNMEASURABLE + placement.expected_wait
        ratio = min(max(seconds / expected, LEAST_SLOWNESS), MOST_SLOWNESS)
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
