"""Serialized form of each kind of record, with one class per schema version.

Fields have the meaning of the fields of the same name in `_model`. A class stays as
it is once a release accepts its schema version; a changed form gets a new class
under a higher schema version.
"""

from typing import Annotated, Literal, TypeAlias

import msgspec

from kingcuphead.records._model import BudgetPolicy, ServiceKind

Name = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,126}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{64}\Z")]
PrefixedDigest = Annotated[str, msgspec.Meta(pattern=r"\Asha256:[0-9a-f]{64}\Z")]
OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
Host = Annotated[str, msgspec.Meta(pattern=rf"\A{OCTET}(\.{OCTET}){{3}}\Z")]
Address = Annotated[
    str, msgspec.Meta(pattern=rf"\A{OCTET}(\.{OCTET}){{3}}:[1-9][0-9]{{0,4}}\Z")
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=99)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Names: TypeAlias = tuple[Name, ...]
NonEmptyNames = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]


class Envelope(msgspec.Struct, frozen=True):
    """Fields that records of every kind and schema version have."""

    #: Kind, one of the values of `RecordKind`.
    kind: str
    #: Schema version.
    schema: int
    #: Name, unique among the records of the kind.
    name: str


class Written(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the serialized forms."""

    #: Name, unique among the records of the kind.
    name: Name


class OrganisationV1(Written, frozen=True):
    """Organisation with one priority for all its callers."""

    kind: Literal["organisation"]
    schema: Literal[1]
    #: Digests of the bearer keys, each with the prefix "sha256:".
    keys: tuple[PrefixedDigest, ...]
    budget: Name
    #: Number N in the name of the organisation's only work class, "priority-N".
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
    classes: NonEmptyNames = ("default",)
    weight: PositiveInt = 1


class TargetV1(Written, frozen=True):
    """Target with separate host and port."""

    kind: Literal["target"]
    schema: Literal[1]
    service: Name
    host: Host
    port: Port
    zone: Name
    models: Names = ()
    #: Maximum number of concurrent requests, `concurrency` in schema version 2.
    slots: PositiveInt = 8


class TargetV2(Written, frozen=True):
    """Target with one address field and a draining flag."""

    kind: Literal["target"]
    schema: Literal[2]
    service: Name
    address: Address
    zone: Name
    models: Names = ()
    concurrency: PositiveInt = 8
    draining: bool = False


class BudgetV1(Written, frozen=True):
    """Budget with its policy."""

    kind: Literal["budget"]
    schema: Literal[1]
    policy: BudgetPolicy = BudgetPolicy.STRICT


class WorkClassV1(Written, frozen=True):
    """Work class with rank, deadline, ageing and share."""

    kind: Literal["class"]
    schema: Literal[1]
    rank: Rank
    deadline: Seconds
    ageing: Seconds = 30.0
    share: Share = 1.0


class ModelV1(Written, frozen=True):
    """Model with its versions and token limits."""

    kind: Literal["model"]
    schema: Literal[1]
    versions: NonEmptyNames
    max_output_tokens: PositiveInt
    template_tokens: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 16


class ServiceV1(Written, frozen=True):
    """Service with its type."""

    kind: Literal["service"]
    schema: Literal[1]
    #: `Service.kind`; named `type` because `kind` is the kind of the record.
    type: ServiceKind
    checks_fencing: bool = False


SchemaRecord: TypeAlias = (
    OrganisationV1
    | OrganisationV2
    | TargetV1
    | TargetV2
    | BudgetV1
    | WorkClassV1
    | ModelV1
    | ServiceV1
)

#: Serialized form by kind and schema version.
SCHEMA_TYPES: dict[tuple[str, int], type[SchemaRecord]] = {
    ("organisation", 1): OrganisationV1,
    ("organisation", 2): OrganisationV2,
    ("target", 1): TargetV1,
    ("target", 2): TargetV2,
    ("budget", 1): BudgetV1,
    ("class", 1): WorkClassV1,
    ("model", 1): ModelV1,
    ("service", 1): ServiceV1,
}
