"""Lender side and borrower side of a credit line, as cumulative totals."""

import dataclasses

from kingcuphead.invariants import ensure


@dataclasses.dataclass(frozen=True, slots=True)
class LentLine:
    """Lender side of a credit line, in tokens."""

    #: Total lent.
    lent: int = 0
    #: Highest total that the borrower reported as returned.
    returned: int = 0
    #: Sum of the committed bills on the line.
    billed: int = 0
    #: Highest total that the borrower reported as received.
    confirmed: int = 0
    #: Highest number of a recall that the borrower answered.
    answered_recall: int = 0

    def __post_init__(self) -> None:
        """Check that no tokens were returned or billed that were not lent."""
        ensure(
            self.lent >= self.returned + self.billed and self.lent >= self.confirmed,
            "returned, billed and confirmed tokens are covered by loans",
            line=(self.lent, self.returned, self.billed, self.confirmed),
        )

    @property
    def outstanding(self) -> int:
        """Tokens that the borrower may still have free, held or in open bills."""
        return self.lent - self.returned - self.billed

    def with_loan(self, tokens: int) -> "LentLine":
        """Return a copy after a loan."""
        return dataclasses.replace(self, lent=self.lent + tokens)

    def with_report(self, received: int, returned: int, recall: int) -> "LentLine":
        """Return a copy after the borrower reported its totals."""
        return dataclasses.replace(
            self,
            returned=max(self.returned, returned),
            confirmed=max(self.confirmed, received),
            answered_recall=max(self.answered_recall, recall),
        )

    def with_bill(self, tokens: int) -> "LentLine":
        """Return a copy after a bill was committed."""
        return dataclasses.replace(self, billed=self.billed + tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedLine:
    """Borrower side of a credit line, in tokens."""

    #: Highest total that the lender reported as lent.
    received: int = 0
    #: Total returned.
    returned: int = 0
    #: Highest returned total that the lender acknowledged.
    acknowledged: int = 0
    #: Sum of the open holds.
    held: int = 0
    #: Sum of the bills, except those dropped as duplicates.
    spent: int = 0
    #: Whether the instance surrendered the grant, so that nothing is free any more.
    surrendered: bool = False

    def __post_init__(self) -> None:
        """Check that no token is spent twice."""
        ensure(
            self.received >= self.returned + self.held + self.spent
            and min(self.held, self.spent, self.returned) >= 0,
            "held, billed and returned tokens are covered by receipts",
            line=(self.received, self.returned, self.held, self.spent),
        )

    @property
    def free(self) -> int:
        """Tokens that are available to new holds."""
        if self.surrendered:
            return 0
        return self.received - self.returned - self.held - self.spent

    def with_receipt(self, lent: int, acknowledged: int) -> "BorrowedLine":
        """Return a copy after the lender reported its totals."""
        return dataclasses.replace(
            self,
            received=max(self.received, lent),
            acknowledged=max(self.acknowledged, acknowledged),
        )

    def with_hold(self, tokens: int) -> "BorrowedLine":
        """Return a copy in which a hold was taken from free credit."""
        ensure(tokens <= self.free, "a hold is covered by free credit", tokens=tokens)
        return dataclasses.replace(self, held=self.held + tokens)

    def with_settlement(self, held: int, tokens: int) -> "BorrowedLine":
        """Return a copy in which a hold was settled by a bill."""
        ensure(tokens <= held, "a bill stays within its hold", held=held, tokens=tokens)
        return dataclasses.replace(
            self, held=self.held - held, spent=self.spent + tokens
        )

    def with_refund(self, tokens: int) -> "BorrowedLine":
        """Return a copy after a bill was dropped as a duplicate."""
        return dataclasses.replace(self, spent=self.spent - tokens)

    def with_return(self, tokens: int) -> "BorrowedLine":
        """Return a copy after free credit was returned to the lender."""
        ensure(tokens <= self.free, "only free credit is returned", tokens=tokens)
        return dataclasses.replace(self, returned=self.returned + tokens)

    def with_surrender(self) -> "BorrowedLine":
        """Return a copy whose credit is no longer available to new holds."""
        return dataclasses.replace(self, surrendered=True)
