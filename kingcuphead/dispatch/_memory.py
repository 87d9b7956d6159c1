"""Whether requests fit into the memory of engines that other daemons use too."""

from collections import Counter

from kingcuphead.dispatch._messages import PlacementRequest
from kingcuphead.frozen import frozen

#: Factor on the tokens that other daemons report; the reports are late and reach only
#: a part of the fleet.
PEER_MARGIN = 1.5
#: Factor while no coordinator can be reached.
UNREACHABLE_PEER_MARGIN = 2 * PEER_MARGIN
#: Share of the memory above which the coordinator is asked.
PERMIT_SHARE = 0.45
#: Share of a slot's part of the memory above which the coordinator is asked for a
#: request. Several daemons may place such requests before they know of each other.
PERMIT_SLOT_SHARE = 0.25
#: Share of the other daemons whose reports have to be known to place a request without
#: asking; in a fleet that is cut in two, a daemon hears half of it.
MIN_KNOWN_SHARE = 0.6
#: Share of the memory that this daemon alone may take while no coordinator can be
#: reached; coordinators leave it free.
UNREACHABLE_SHARE = 0.2


class HeldTokens:
    """The tokens that this daemon's requests hold on one engine.

    The parts of prompts that several requests share count once, with the length that
    the first of these requests states.
    """

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()
        self._lengths: dict[str, int] = {}
        #: Tokens of all requests.
        self.total = 0

    def count_added(self, request: PlacementRequest) -> int:
        """Return the tokens that one more request would add."""
        tokens = _count_own(request)
        for key, length in _list_segments(request):
            if key not in self._lengths:
                tokens += length
        return tokens

    def add(self, request: PlacementRequest) -> None:
        """Count a request that is sent to the engine."""
        self.total += _count_own(request)
        for key, length in _list_segments(request):
            self._requests[key] += 1
            if key not in self._lengths:
                self._lengths[key] = length
                self.total += length

    def remove(self, request: PlacementRequest) -> None:
        """Stop counting a request that has ended."""
        self.total -= _count_own(request)
        for key, _ in _list_segments(request):
            self._requests[key] -= 1
            if not self._requests[key]:
                del self._requests[key]
                self.total -= self._lengths.pop(key)


def _count_own(request: PlacementRequest) -> int:
    """Return the tokens of a request that it shares with no other one."""
    return request.prompt_tokens - request.shared_tokens + request.output_tokens


def _list_segments(request: PlacementRequest) -> list[tuple[str, int]]:
    """Return the shared prefixes with the tokens that each adds to the one before."""
    segments = []
    end = 0
    for prefix in request.prefixes:
        segments.append((prefix.key, prefix.tokens - end))
        end = prefix.tokens
    return segments


def fits(held_tokens: int, peer_tokens: int, capacity: int) -> bool:
    """Whether the requests of this daemon fit beside what others have reported."""
    return held_tokens + PEER_MARGIN * peer_tokens <= capacity


@frozen
class MemoryUse:
    """The memory of an engine as one daemon knows it, with a request on it."""

    #: Tokens that the memory has room for.
    capacity: int
    #: Tokens that the requests of this daemon hold, with that request.
    held_tokens: int
    #: Tokens that other daemons have reported lately.
    peer_tokens: int
    #: Tokens that the request adds.
    added_tokens: int
    #: Share of the other daemons whose memory is known; 1 if there are none.
    known_share: float
    #: Requests that the engine runs at once.
    slots: int
    #: Tokens in the last report of each of these daemons.
    last_peer_tokens: int = 0
    #: Share of the other daemons whose reports aren't older than load reports count.
    fresh_share: float = 1.0

    @property
    def used_share(self) -> float:
        """Known share of the memory that is taken, with the request."""
        return (self.held_tokens + self._expected_peer_tokens) / self.capacity

    @property
    def fits(self) -> bool:
        """Whether the request may be placed on the engine."""
        return fits(self.held_tokens, self.peer_tokens, self.capacity)

    @property
    def needs_permit(self) -> bool:
        """Whether the coordinator of the engine has to be asked.

        Without it, no request may take much of the memory, since other daemons may
        place theirs at the same time.
        """
        is_uninformed = self.known_share < MIN_KNOWN_SHARE
        largest = PERMIT_SLOT_SHARE * self.capacity / self.slots
        if is_uninformed or self.added_tokens > largest:
            return True
        margin = max(PEER_MARGIN, 1 / self.known_share)
        expected = self.held_tokens + margin * self._expected_peer_tokens
        return expected > PERMIT_SHARE * self.capacity

    @property
    def fits_unasked(self) -> bool:
        """Whether the request may be placed while no coordinator can be reached.

        Older reports don't count: the daemons that can't be heard may use the engine.
        """
        known_share = min(self.known_share, self.fresh_share)
        if known_share < MIN_KNOWN_SHARE:
            return False
        margin = max(UNREACHABLE_PEER_MARGIN, 2 / known_share)
        expected = self.held_tokens + margin * self._expected_peer_tokens
        return self.fits_isolated and expected <= PERMIT_SHARE * self.capacity

    @property
    def _expected_peer_tokens(self) -> int:
        """The larger one of two estimates: both leave out what isn't reported."""
        return max(self.peer_tokens, self.last_peer_tokens)

    @property
    def fits_isolated(self) -> bool:
        """Whether the request may be placed while no other daemon can be heard."""
        return self.held_tokens <= UNREACHABLE_SHARE * self.capacity


class DeniedMemory:
    """The smallest request that the memory of an engine lately had no room for."""

    def __init__(self) -> None:
        self._tokens = 0
        self._ends_at = float("-inf")

    def record(self, tokens: int, ends_at: float, now: float) -> None:
        """Record that a request was denied.

        Parameters
        ----------
        tokens
            Tokens that it would have added.
        ends_at
            Time in seconds from which on there may be room for it.
        now
            Current time in seconds.
        """
        self._tokens = min(self._tokens, tokens) if now < self._ends_at else tokens
        self._ends_at = max(self._ends_at, ends_at)

    def covers(self, tokens: int, now: float) -> bool:
        """Whether a request would be denied as well."""
        return now < self._ends_at and tokens >= self._tokens
