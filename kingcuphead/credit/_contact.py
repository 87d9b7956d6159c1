"""When the platform's store last answered one daemon, for any organisation."""

#: Seconds after which a call without an answer is taken for a sign of an outage.
SILENT_SECONDS = 0.12


class StoreContact:
    """Records the calls of all organisations' renewals to the store."""

    def __init__(self) -> None:
        #: Time in seconds of the first call that was sent after the last answer; None
        #: if there is none.
        self.silent_since: float | None = None

    def record_call(self, now: float) -> None:
        """Record that a call is sent."""
        if self.silent_since is None:
            self.silent_since = now

    def record_answer(self) -> None:
        """Record that the store has answered a call."""
        self.silent_since = None

    def is_silent(self, now: float) -> bool:
        """Whether a call has waited for its answer for longer than usual."""
        return (
            self.silent_since is not None and now - self.silent_since > SILENT_SECONDS
        )
