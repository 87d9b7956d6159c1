"""Trials of quarantined parts: single requests that may show them to be harmless.

While a part is quarantined no request with it is run, so none is answered, and an
answer is all that clears it. A few trials end a wrong verdict early. Each is counted
in the store before a daemon may use it, so that their number holds for all daemons
together and outlasts them.
"""

import math
from collections.abc import Collection, Iterable

from kingcuphead.frozen import frozen

#: Trials of one quarantine. A part that does crash targets ends one with the first of
#: them; the second is for a first one without an outcome. Three targets are allowed to
#: get such a request after its crashes are known.
MAX_TRIALS = 2
#: Seconds from a verdict to the first trial. Requests that still run elsewhere may be
#: answered by then, and targets that crash by themselves often do so one after another.
TRIAL_DELAY = 3.0
#: Seconds between two trials. A part that crashes targets does so when an answer
#: begins, so that the outcome is known by then.
TRIAL_INTERVAL = 5.0


@frozen
class TrialHistory:
    """The trials of one quarantine, as the store knows them."""

    #: Number of trials that daemons were granted.
    count: int = 0
    #: Seconds since the latest one; infinite without any.
    age: float = math.inf

    @property
    def is_exhausted(self) -> bool:
        """Whether no further trial is granted."""
        return self.count >= MAX_TRIALS

    @property
    def is_due(self) -> bool:
        """Whether the outcome of the latest trial is known, and another is left."""
        return not self.is_exhausted and self.age >= TRIAL_INTERVAL


@frozen
class Trial:
    """Allows one request to be run although parts of its prompt are quarantined."""

    #: Keys of all quarantines that cover the request.
    keys: tuple[str, ...]


class Trials:
    """The trials that this daemon wants and has; does no I/O."""

    def __init__(self) -> None:
        self._granted: set[str] = set()
        self._wanted: dict[str, None] = {}
        #: When the store may be asked again, by key.
        self._next_ask_at: dict[str, float] = {}

    def claim(self, keys: Collection[str]) -> Trial | None:
        """Use the granted trials of all keys; None if one of them has none."""
        if not keys or not self._granted.issuperset(keys):
            return None
        self._granted.difference_update(keys)
        return Trial(tuple(keys))

    def give_back(self, trial: Trial) -> None:
        """Take back a trial whose request was sent to no target."""
        self._granted.update(trial.keys)

    def request(self, key: str, now: float) -> bool:
        """Note that a request needs a trial; return whether to ask the store now."""
        if key in self._granted or now < self._next_ask_at.get(key, now):
            return False
        self._wanted[key] = None
        self._next_ask_at[key] = now + TRIAL_INTERVAL
        return True

    def take_wanted(self) -> tuple[str, ...]:
        """Return the keys for which the store is to be asked, once each."""
        wanted = tuple(self._wanted)
        self._wanted.clear()
        return wanted

    def grant(self, key: str) -> None:
        """Record that the store has counted a trial of this daemon."""
        self._granted.add(key)

    def list_granted(self) -> tuple[str, ...]:
        """Return the keys of trials that aren't used yet."""
        return tuple(self._granted)

    def revoke(self, keys: Iterable[str]) -> None:
        """Drop unused trials of keys under which another trial crashed a target."""
        self._granted.difference_update(keys)

    def postpone(self, key: str, until: float) -> None:
        """Don't ask the store for trials of a key until a time."""
        self._next_ask_at[key] = until

    def retain(self, keys: Iterable[str]) -> None:
        """Forget all other keys; their quarantines have ended."""
        kept = frozenset(keys)
        self._granted &= kept
        self._wanted = {key: None for key in self._wanted if key in kept}
        self._next_ask_at = {
            key: at for key, at in self._next_ask_at.items() if key in kept
        }
