"""Written form of each kind of record, one class for each schema version.

A class here never changes once a release has accepted it: a change of form is a
new class under a higher schema version.
"""

from typing import Annotated, Literal, TypeAlias

import msgspec

from kingcuphead.records._model import BudgetPolicy, ServiceKind

Name = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,126}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{64}\Z")]
Key = Annotated[str, msgspec.Meta(pattern=r"\Asha256:[0-9a-f]{64}\Z")]
Octet = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
Host = Annotated[str, msgspec.Meta(pattern=rf"\A{Octet}(\.{Octet}){{3}}\Z")]
Address = Annotated[
    str, msgspec.Meta(pattern=rf"\A{Octet}(\.{Octet}){{3}}:[1-9][0-9]{{0,4}}\Z")
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=99)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Names: TypeAlias = tuple[Name, ...]
SomeNames = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]


class Envelope(msgspec.Struct, frozen=True):
    """What every record of every schema starts with."""

    #: Kind of the record.
    kind: str
    #: Version of the written form.
    schema: int
    #: Name, unique in its kind.
    name: str


class Written(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the written forms."""

    #: Name, unique in its kind.
    name: Name


class OrganisationV1(Written, frozen=True):
    """Organisation with one priority for all its callers."""

    kind: Literal["organisation"]
    schema: Literal[1]
    #: Digests of the bearer keys, each after "sha256:".
    keys: tuple[Key, ...]
    budget: Name
    #: Names the work class "priority-N".
    priority: Rank
    models: Names = ()


class OrganisationV2(Written, frozen=True):
    """Organisation with work classes, plain services and a weight."""

    kind: Literal["organisation"]
    schema: Literal[2]
    key_digests: tuple[Digest, ...]
    budget: Name
    models: Names = ()
    services: Names = ()
    classes: SomeNames = ("default",)
    weight: Positive = 1


class TargetV1(Written, frozen=True):
    """Target with host and port apart."""

    kind: Literal["target"]
    schema: Literal[1]
    service: Name
    host: Host
    port: Port
    zone: Name
    models: Names = ()
    slots: Positive = 8


class TargetV2(Written, frozen=True):
    """Target with one address and a switch for draining."""

    kind: Literal["target"]
    schema: Literal[2]
    service: Name
    address: Address
    zone: Name
    models: Names = ()
    concurrency: Positive = 8
    draining: bool = False


class BudgetV1(Written, frozen=True):
    """Policy of a budget."""

    kind: Literal["budget"]
    schema: Literal[1]
    policy: BudgetPolicy = BudgetPolicy.STRICT


class WorkClassV1(Written, frozen=True):
    """Work class."""

    kind: Literal["class"]
    schema: Literal[1]
    rank: Rank
    deadline: Seconds
    ageing: Seconds = 30.0
    share: Share = 1.0


class ModelV1(Written, frozen=True):
    """Model."""

    kind: Literal["model"]
    schema: Literal[1]
    versions: SomeNames
    max_output_tokens: Positive
    template_tokens: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 16


class ServiceV1(Written, frozen=True):
    """Service."""

    kind: Literal["service"]
    schema: Literal[1]
    #: Written as `type`, since `kind` belongs to the envelope.
    type: ServiceKind
    checks_fencing: bool = False


WrittenRecord: TypeAlias = (
    OrganisationV1
    | OrganisationV2
    | TargetV1
    | TargetV2
    | BudgetV1
    | WorkClassV1
    | ModelV1
    | ServiceV1
)

#: Written form by kind and schema version.
FORMS: dict[tuple[str, int], type[WrittenRecord]] = {
    ("organisation", 1): OrganisationV1,
    ("organisation", 2): OrganisationV2,
    ("target", 1): TargetV1,
    ("target", 2): TargetV2,
    ("budget", 1): BudgetV1,
    ("class", 1): WorkClassV1,
    ("model", 1): ModelV1,
    ("service", 1): ServiceV1,
}
