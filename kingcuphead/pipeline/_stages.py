"""What each filter of the request path hands to the next one."""

import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from kingcuphead.api import CallerHeaders, ChatRequest
from kingcuphead.records import Budget, Model, Organisation, Service, WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A caller's request as it arrived."""

    #: Identifies the request across retries; from the caller, or made here.
    request_id: str
    #: Identifies this arrival of the request on this daemon.
    operation_id: str
    #: HTTP method.
    method: str
    #: Path and query.
    path: str
    #: Headers; names compare without regard to case.
    headers: Mapping[str, str]
    #: Body.
    body: bytes
    #: Monotonic time of arrival in seconds.
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """A request whose organisation is known."""

    #: The request.
    received: Received
    #: The organisation that sent it.
    organisation: Organisation
    #: Its checked headers.
    headers: CallerHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class ChatWork:
    """Work for a model engine."""

    #: The checked body.
    chat: ChatRequest
    #: The model.
    model: Model
    #: Service whose targets serve the model.
    service: str
    #: The budget that pays.
    budget: Budget
    #: Upper bound on the cost in tokens.
    bound_tokens: int
    #: Cap on output tokens that the bound covers.
    max_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWork:
    """Work for a plain service."""

    #: The service.
    service: Service
    #: Path and query at the target.
    path: str


Work: TypeAlias = ChatWork | ServiceWork


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that its organisation may send."""

    #: The request and its organisation.
    identified: Identified
    #: What is to be done.
    work: Work
    #: Class in which it queues.
    work_class: WorkClass
    #: Monotonic time in seconds by which the first token is of use.
    deadline: float
    #: Digest of the content, the same whenever a caller sends it again.
    fingerprint: str
    #: Requests with the same key share a cached prefix.
    affinity_key: bytes

    @property
    def received(self) -> Received:
        """The request as it arrived."""
        return self.identified.received

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.identified.headers.idempotency_key is None


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A target that has a slot for the request."""

    #: Name of the target.
    target: str
    #: Its IP number and port.
    address: str
    #: Priority for engines that honour one; 0 goes first.
    priority: int
