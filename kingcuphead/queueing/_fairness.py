"""The fair queue of this package's requests."""

from typing import TypeAlias

from kingcuphead import fairness
from kingcuphead.queueing._messages import RequestArrived

#: A queued request with its arrival time and weight.
WaitingRequest: TypeAlias = fairness.WaitingRequest[RequestArrived]
#: Weighted fair queue of the requests of one class.
FairQueue: TypeAlias = fairness.FairQueue[RequestArrived]
