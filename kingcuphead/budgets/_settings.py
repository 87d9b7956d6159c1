"""Settings of the budget machines."""

import dataclasses

from kingcuphead.records import BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How much credit is kept near callers, and for how long."""

    #: Seconds of recent demand that a borrower keeps at hand.
    chunk_seconds: float
    #: Seconds of recent demand that a home keeps in its grant beyond its loans.
    reserve_seconds: float
    #: Loans of a recent size that a home keeps at least while the budget is used.
    reserve_loans: int
    #: The budget is scarce while less than this many seconds of demand is left.
    low_water_seconds: float
    #: Largest share of what is left of the budget that is kept or lent in reserve.
    reserve_share: float
    #: Seconds without a hold after which all free credit is given back.
    idle_seconds: float


#: Least credit is left unattributed when an instance dies.
STRICT = Policy(
    chunk_seconds=1.0,
    reserve_seconds=3.0,
    reserve_loans=4,
    low_water_seconds=5.0,
    reserve_share=0.005,
    idle_seconds=2.0,
)

#: Most requests are served through an outage or a partition.
AVAILABLE = Policy(
    chunk_seconds=4.0,
    reserve_seconds=10.0,
    reserve_loans=8,
    low_water_seconds=10.0,
    reserve_share=0.05,
    idle_seconds=15.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Times in seconds and sizes of the budget machines."""

    #: Number of shards, as the layout row says.
    shards: int
    #: Least time between the starts of two flushes of a shard.
    flush_interval: float = 0.1
    #: The same while a request waits for a grant.
    urgent_interval: float = 0.03
    #: Time constant of the demand estimate.
    demand_seconds: float = 10.0
    #: A home answers a credit request within this time.
    answer_wait: float = 0.3
    #: A table that fails for this long is taken to be down.
    outage_seconds: float = 1.0
    #: A borrower repeats an unanswered credit request after this time.
    ask_interval: float = 0.15
    #: A home that stays silent for this long is taken for unreachable.
    home_timeout: float = 0.5
    #: First and longest time for which an unreachable home is passed over.
    suspect_seconds: float = 3.0
    suspect_longest: float = 24.0
    #: Least time between two readings of a row because credit is short.
    read_interval: float = 0.1
    #: Least time between two recalls of the same credit.
    recall_interval: float = 0.1
    #: Time after which an unanswered loan, return or bill is repeated.
    resend_interval: float = 0.5
    #: Time after which a bill that the home keeps is submitted again.
    recheck_interval: float = 5.0
    #: A witness submits the bills of a borrower that is gone for this long.
    witness_grace: float = 3.0
    #: A witness submits a copy of this age itself, whether or not its drop was lost.
    copy_age: float = 5.0
    #: Time after which a caller refused for an exhausted budget may try again.
    exhausted_retry: float = 5.0
    #: First and longest wait after a failed access to the table.
    backoff_first: float = 0.05
    backoff_longest: float = 2.0
    #: Bill pages within which a request id is billed once.
    dedupe_pages: int = 20_000
    #: Rows read by one scan.
    scan_rows: int = 500
    #: Most bills in a page.
    page_bills: int = 500
    #: Policies.
    strict: Policy = STRICT
    available: Policy = AVAILABLE

    def choose_policy(self, policy: BudgetPolicy) -> Policy:
        """Return the figures of a policy."""
        match policy:
            case BudgetPolicy.STRICT:
                return self.strict
            case BudgetPolicy.AVAILABLE:
                return self.available
