"""The terms on which targets accept requests, as they state them in answers."""

import dataclasses

from loguru import logger

from kingcuphead.targets import Target


@dataclasses.dataclass(frozen=True, slots=True)
class TargetTerms:
    """What a target states about the requests that it accepts from all daemons."""

    #: Requests per second; None if the target states no limit.
    requests_per_second: float | None = None
    #: Requests per second that the target can reject for want of room before it
    #: fails; None if it states none.
    rejections_per_second: int | None = None


#: The terms of a target that states nothing.
NO_TERMS = TargetTerms()


class TermsTable:
    """The newest terms of each incarnation of a target; terms hold until replaced."""

    def __init__(self) -> None:
        self._terms: dict[str, TargetTerms] = {}

    def get(self, target: Target) -> TargetTerms:
        """Return the terms of a target."""
        return self._terms.get(target.incarnation, NO_TERMS)

    def record(self, target: Target, terms: TargetTerms) -> bool:
        """Replace the terms of a target.

        Returns
        -------
        bool
            Whether they differ from the previous ones.
        """
        if terms == self.get(target):
            return False
        if terms == NO_TERMS:
            del self._terms[target.incarnation]
        else:
            self._terms[target.incarnation] = terms
        logger.bind(
            target=target.name,
            service=target.service,
            requests_per_second=terms.requests_per_second,
            rejections_per_second=terms.rejections_per_second,
        ).info("terms of target changed")
        return True

    def forget(self, target: Target) -> None:
        """Drop the terms of a target that was removed."""
        self._terms.pop(target.incarnation, None)
