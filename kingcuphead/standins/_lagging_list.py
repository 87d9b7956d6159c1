"""An instance list that shows the state of some time ago."""

from kingcuphead.storage import Instance


class LaggingList:
    """The platform's instance list, with a lag and a switch that freezes it.

    Parameters
    ----------
    lag : float
        Seconds before a change shows.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self._lag = lag
        self._frozen_at: float | None = None
        self._states: list[tuple[float, dict[str, Instance]]] = [(0.0, {})]

    @property
    def is_frozen(self) -> bool:
        """Whether the list has stopped following changes."""
        return self._frozen_at is not None

    def set_lag(self, lag: float) -> None:
        """Change the lag, in seconds."""
        self._lag = lag

    def freeze(self, now: float) -> None:
        """Stop the list at what it shows now."""
        if self._frozen_at is None:
            self._frozen_at = now

    def thaw(self) -> None:
        """Let the list follow changes again."""
        self._frozen_at = None

    def update(self, instance: Instance, now: float) -> None:
        """Add an instance or change its state."""
        latest = dict(self._states[-1][1])
        latest[instance.name] = instance
        self._states.append((now, latest))

    def view(self, now: float) -> tuple[Instance, ...]:
        """Return the list as callers see it now."""
        moment = (now if self._frozen_at is None else self._frozen_at) - self._lag
        visible = self._states[0][1]
        for since, state in self._states:
            if since <= moment:
                visible = state
        return tuple(visible.values())
