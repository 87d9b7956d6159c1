"""Settings of the budget state machines."""

import dataclasses

from kingcuphead.records import BudgetPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Amount of credit that daemons keep ahead of demand, and for how long.

    A credit buffer is free credit beyond what the waiting requests need. It shortens
    the wait for holds and covers requests while the table or a peer is unreachable,
    but stays charged to the budget if the daemon dies.
    """

    #: Buffer of a borrower, in seconds of recent demand.
    borrower_buffer_seconds: float
    #: Buffer of a home in its grant beyond its loans, in seconds of recent demand.
    home_buffer_seconds: float
    #: Minimum buffer of a home while the budget is used, in loans of recent size.
    home_buffer_loans: int
    #: Low-water mark in seconds of recent demand; below it the budget is scarce.
    low_water_seconds: float
    #: Maximum buffer that is kept or lent, as a fraction of the unallocated tokens
    #: and those that the home may lend.
    max_buffer_share: float
    #: Seconds without a hold after which all free credit is returned.
    idle_seconds: float


#: Minimises the credit that stays unattributed when an instance dies.
STRICT = Policy(
    borrower_buffer_seconds=1.0,
    home_buffer_seconds=3.0,
    home_buffer_loans=4,
    low_water_seconds=5.0,
    max_buffer_share=0.005,
    idle_seconds=2.0,
)

#: Maximises the requests that are served during an outage or a partition.
AVAILABLE = Policy(
    borrower_buffer_seconds=4.0,
    home_buffer_seconds=10.0,
    home_buffer_loans=8,
    low_water_seconds=10.0,
    max_buffer_share=0.05,
    idle_seconds=15.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Durations in seconds and sizes of the budget state machines."""

    #: Number of shards, equal to that in the layout row.
    shards: int
    #: Minimum time between the starts of two flushes of a shard.
    flush_interval: float = 0.1
    #: Minimum time between flushes while a credit request waits for a grant.
    urgent_interval: float = 0.03
    #: Time constant of the exponentially weighted demand estimate.
    demand_seconds: float = 10.0
    #: Time within which a home replies to a credit request.
    credit_request_timeout: float = 0.3
    #: Duration of consecutive table failures that counts as an outage.
    outage_seconds: float = 1.0
    #: Time after which a borrower repeats an unanswered credit request.
    credit_request_interval: float = 0.15
    #: Time without a reply after which a borrower suspects a home.
    home_timeout: float = 0.5
    #: Time for which a home is skipped after the first suspicion.
    suspect_seconds: float = 3.0
    #: Maximum of that time, which doubles with each further suspicion.
    suspect_longest: float = 24.0
    #: Minimum time between two reads of a row that a credit shortage triggers.
    read_interval: float = 0.1
    #: Minimum time between two recalls of the same credit.
    recall_interval: float = 0.1
    #: Time after which an unacknowledged return or bill is resent.
    resend_interval: float = 0.5
    #: Time after which an accepted, uncommitted bill is resubmitted and an
    #: unconfirmed loan is resent.
    recheck_interval: float = 5.0
    #: Time after a borrower left the membership view until its bill replicas are
    #: submitted by their holder.
    replica_grace: float = 3.0
    #: Age at which a replica holder submits a bill replica although the borrower is
    #: live, since the message that drops the replica may be lost.
    replica_max_age: float = 5.0
    #: `retry_after` of a denial because the budget is exhausted.
    exhausted_retry_after: float = 5.0
    #: Backoff after the first failed access to the table.
    backoff_first: float = 0.05
    #: Maximum of the backoff, which doubles with each consecutive failure.
    backoff_longest: float = 2.0
    #: Number of bill pages within which a request id is billed only once.
    dedupe_pages: int = 20_000
    #: Maximum number of rows in one scan.
    scan_rows: int = 500
    #: Maximum number of bills in a page.
    page_bills: int = 500
    #: Buffers and limits for each budget policy.
    strict: Policy = STRICT
    available: Policy = AVAILABLE

    def choose_policy(self, policy: BudgetPolicy) -> Policy:
        """Return the credit buffers of a budget policy."""
        match policy:
            case BudgetPolicy.STRICT:
                return self.strict
            case BudgetPolicy.AVAILABLE:
                return self.available
