"""The two ends of a credit line, kept as cumulative totals."""

import dataclasses

from kingcuphead.invariants import ensure


@dataclasses.dataclass(frozen=True, slots=True)
class LentLine:
    """The lender's end of a credit line, in tokens."""

    #: Total that was lent.
    lent: int = 0
    #: Highest total that the borrower reported as returned.
    returned: int = 0
    #: Sum of the committed bills.
    billed: int = 0
    #: Highest total that the borrower reported as received.
    confirmed: int = 0
    #: Highest number of a recall that the borrower answered.
    recall: int = 0

    def __post_init__(self) -> None:
        """Check that the borrower never gave back or billed what it did not have."""
        ensure(
            self.lent >= self.returned + self.billed and self.lent >= self.confirmed,
            "returned and billed tokens were lent before",
            line=(self.lent, self.returned, self.billed, self.confirmed),
        )

    @property
    def outstanding(self) -> int:
        """Tokens that the borrower may hold or have billed, open bills included."""
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
            recall=max(self.recall, recall),
        )

    def with_bill(self, tokens: int) -> "LentLine":
        """Return a copy after a bill was committed."""
        return dataclasses.replace(self, billed=self.billed + tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedLine:
    """The borrower's end of a credit line, in tokens."""

    #: Highest total that the lender reported as lent.
    received: int = 0
    #: Total that was returned.
    returned: int = 0
    #: Highest total that the lender has seen returned.
    acknowledged: int = 0
    #: Sum of the holds of requests that have not ended.
    held: int = 0
    #: Sum of the bills, without those dropped as duplicates.
    spent: int = 0
    #: Whether the credit was given up for good.
    surrendered: bool = False

    def __post_init__(self) -> None:
        """Check that no credit is used twice."""
        ensure(
            self.received >= self.returned + self.held + self.spent
            and min(self.held, self.spent, self.returned) >= 0,
            "held, billed and returned tokens were received before",
            line=(self.received, self.returned, self.held, self.spent),
        )

    @property
    def free(self) -> int:
        """Tokens that a new hold may use."""
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
        """Return a copy after a hold was made, or released if negative."""
        ensure(tokens <= self.free, "a hold is covered by free credit", tokens=tokens)
        return dataclasses.replace(self, held=self.held + tokens)

    def with_settlement(self, held: int, tokens: int) -> "BorrowedLine":
        """Return a copy in which a hold became a bill."""
        ensure(tokens <= held, "a bill stays within its hold", held=held, tokens=tokens)
        return dataclasses.replace(
            self, held=self.held - held, spent=self.spent + tokens
        )

    def with_refund(self, tokens: int) -> "BorrowedLine":
        """Return a copy after a duplicate bill was dropped."""
        return dataclasses.replace(self, spent=self.spent - tokens)

    def with_return(self, tokens: int) -> "BorrowedLine":
        """Return a copy after free credit was given back."""
        ensure(tokens <= self.free, "only free credit is returned", tokens=tokens)
        return dataclasses.replace(self, returned=self.returned + tokens)

    def with_surrender(self) -> "BorrowedLine":
        """Return a copy whose credit can no longer be used."""
        return dataclasses.replace(self, surrendered=True)
