"""The terms on which targets accept requests, as they state them in answers."""

from loguru import logger

from kingcuphead.frozen import frozen


@frozen
class TargetTerms:
    """What a target states about the requests that it accepts from all daemons."""

    #: Requests per second; None if the target states no limit.
    requests_per_second: float | None = None
    #: Requests per second that the target can reject for want of room before it
    #: fails; None if it states none.
    rejections_per_second: int | None = None
    #: Requests per second while the target is, or may be, cold; None if it is warm.
    #: `requests_per_second` is at most this, for daemons that don't know cold targets.
    cold_requests_per_second: float | None = None

    @property
    def is_unlimited(self) -> bool:
        """Whether requests need no permit."""
        return self.requests_per_second is None and not self.is_brittle

    @property
    def is_brittle(self) -> bool:
        """Whether the target may fail when requests find no room."""
        return self.rejections_per_second is not None

    def restrict(self, cold_limit: float) -> "TargetTerms":
        """Return the terms of the target while it is cold."""
        limit = cold_limit
        if self.requests_per_second is not None:
            limit = min(limit, self.requests_per_second)
        return TargetTerms(limit, self.rejections_per_second, cold_limit)


#: The terms of a target that states nothing.
NO_TERMS = TargetTerms()


class TermsTable:
    """The newest terms of each incarnation of a target; terms hold until replaced."""

    def __init__(self) -> None:
        self._terms: dict[str, TargetTerms] = {}

    def get(self, target: str) -> TargetTerms:
        """Return the terms of an incarnation of a target."""
        return self._terms.get(target, NO_TERMS)

    def record(self, target: str, terms: TargetTerms) -> bool:
        """Replace the terms of an incarnation of a target.

        Returns
        -------
        bool
            Whether they differ from the previous ones.
        """
        if terms == self.get(target):
            return False
        if terms == NO_TERMS:
            del self._terms[target]
        else:
            self._terms[target] = terms
        logger.bind(
            target=target,
            requests_per_second=terms.requests_per_second,
            rejections_per_second=terms.rejections_per_second,
        ).info("terms of target changed")
        return True

    def list_brittle(self) -> tuple[str, ...]:
        """Return the incarnations of targets that may fail for want of room."""
        return tuple(each for each, terms in self._terms.items() if terms.is_brittle)

    def forget(self, target: str) -> None:
        """Drop the terms of an incarnation that was removed."""
        self._terms.pop(target, None)
