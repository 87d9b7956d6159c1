"""An instance list with a propagation delay."""

from kingcuphead.storage import Instance


class LaggingList:
    """The platform's instance list, with a propagation delay and a freeze switch.

    Parameters
    ----------
    lag : float
        Delay before a change becomes visible, in seconds.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self._lag = lag
        self._frozen_at: float | None = None
        self._states: list[tuple[float, dict[str, Instance]]] = [(0.0, {})]

    @property
    def is_frozen(self) -> bool:
        """Whether the list is frozen, so that later changes stay invisible."""
        return self._frozen_at is not None

    def set_lag(self, lag: float) -> None:
        """Set the delay before a change becomes visible, in seconds."""
        self._lag = lag

    def freeze(self, now: float) -> None:
        """Keep returning the state that is visible at `now`."""
        if self._frozen_at is None:
            self._frozen_at = now

    def unfreeze(self) -> None:
        """Make later changes visible again, after the lag."""
        self._frozen_at = None

    def update(self, instance: Instance, now: float) -> None:
        """Add an instance or replace its entry."""
        latest = dict(self._states[-1][1])
        latest[instance.name] = instance
        self._states.append((now, latest))

    def view(self, now: float) -> tuple[Instance, ...]:
        """Return the instances that are visible at `now`."""
        cutoff = (now if self._frozen_at is None else self._frozen_at) - self._lag
        visible = self._states[0][1]
        for since, state in self._states:
            if since <= cutoff:
                visible = state
        return tuple(visible.values())
