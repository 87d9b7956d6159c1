"""Objects that the requests of one daemon share."""

from collections.abc import Callable

from kingcuphead.addresses import Address
from kingcuphead.admission import AdmissionGate
from kingcuphead.credit import CreditTask
from kingcuphead.dispatch import Dispatcher, HedgingPolicy, RetryAllowance
from kingcuphead.forwarding._attempt import AttemptRunner
from kingcuphead.forwarding._evidence import EvidenceRecorder
from kingcuphead.forwarding._messages import TargetStated
from kingcuphead.frozen import frozen
from kingcuphead.permits import PermitExchange
from kingcuphead.quarantine import QuarantineExchange
from kingcuphead.resumption import ResumptionExchange
from kingcuphead.targets import Target, TargetDirectory


@frozen
class Dependencies:
    """Objects shared by all requests."""

    #: Lists the targets of a service that accept requests.
    directory: TargetDirectory
    #: Chooses the target of each attempt.
    dispatcher: Dispatcher
    #: Retry budget of this daemon for each service.
    retries: RetryAllowance
    #: Holds and settles the credit of organisations.
    credit: CreditTask
    #: Sends attempts to targets.
    runner: AttemptRunner
    #: Knows the requests that crashed targets, of the whole fleet.
    quarantine: QuarantineExchange
    #: Records what the ends of attempts prove about their requests.
    evidence: EvidenceRecorder
    #: Knows the software versions that began streams, of the whole fleet.
    resumption: ResumptionExchange
    #: Called with a target that says in an answer that it leaves.
    report_leaving: Callable[[Target], None]
    #: Tells a daemon that passed on an answer what the target said of itself in it.
    report_statement: Callable[[TargetStated, Address], None]
    #: What targets take from the whole fleet.
    permits: PermitExchange
    #: Holds requests back until targets have room; None to send all at once.
    admission: AdmissionGate | None = None
    #: Decides on second attempts beside running ones; None for no such attempts.
    hedging: HedgingPolicy | None = None
    #: Whether the configuration in force is known to be the newest one.
    is_configuration_current: Callable[[], bool] = lambda: True
