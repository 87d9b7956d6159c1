"""Data passed from stage to stage of the request pipeline."""

import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from kingcuphead.api import CallerHeaders, ChatRequest
from kingcuphead.records import Budget, Model, Organisation, Service, WorkClass


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A caller's request as it arrived."""

    #: Id of the request across retries, from the caller or generated here.
    request_id: str
    #: Id of this arrival of the request, unique on this daemon.
    operation_id: str
    #: HTTP method as the caller sent it.
    method: str
    #: Path and query as the caller sent them.
    path: str
    #: Headers; names are case-insensitive.
    headers: Mapping[str, str]
    #: Complete body.
    body: bytes
    #: Arrival time in seconds on the monotonic clock.
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """A request whose organisation is known."""

    #: The request as it arrived.
    received: Received
    #: Organisation that sent the request.
    organisation: Organisation
    #: Validated headers that control the request.
    headers: CallerHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class ChatWork:
    """Work for a model engine."""

    #: Validated body of the request.
    chat: ChatRequest
    #: Model that the request names.
    model: Model
    #: Name of the service whose targets serve the model; "" if there is none.
    service: str
    #: Budget that is charged.
    budget: Budget
    #: Upper bound on the cost of the request, in tokens.
    bound_tokens: int
    #: Limit on output tokens that the upper bound includes.
    max_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWork:
    """Work for a plain service."""

    #: Service that the caller named.
    service: Service
    #: Path and query that the target receives.
    path: str


Work: TypeAlias = ChatWork | ServiceWork


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that its organisation may send."""

    #: The request and its organisation.
    identified: Identified
    #: Chat request or call to a plain service.
    work: Work
    #: Work class in which the request is queued.
    work_class: WorkClass
    #: Deadline for the first token, in seconds on the monotonic clock.
    deadline: float
    #: Digest of organisation and content, the same for each retry by a caller.
    fingerprint: str
    #: Digest of the prompt prefix; requests with the same key share a KV cache prefix.
    affinity_key: bytes

    @property
    def received(self) -> Received:
        """The request as it arrived."""
        return self.identified.received

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once: it has no idempotency key."""
        return self.identified.headers.idempotency_key is None


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A slot on a target that is assigned to the request."""

    #: Name of the target.
    target: str
    #: Address of the target as `IP:port`.
    address: str
    #: Priority for engines that support priorities; 0 is the highest.
    priority: int
