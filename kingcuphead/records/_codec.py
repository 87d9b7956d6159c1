"""Decoding of every accepted schema version, encoding of the newest one."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from kingcuphead.records._faults import RecordFault
from kingcuphead.records._kinds import KINDS, name_record
from kingcuphead.records._model import (
    Budget,
    Model,
    Organisation,
    Record,
    Service,
    Target,
    WorkClass,
)
from kingcuphead.records._schemas import (
    SCHEMA_TYPES,
    BudgetV1,
    Envelope,
    ModelV1,
    OrganisationV1,
    OrganisationV2,
    SchemaRecord,
    ServiceV1,
    TargetV1,
    TargetV2,
    WorkClassV1,
)

#: Highest schema version that this build reads.
SCHEMA = 2
#: Maximum size of an encoded record in bytes.
RECORD_BYTES = 65_536


def decode_record(
    content: bytes, max_schema: int = SCHEMA
) -> Result[Record, RecordFault]:
    """Decode one record.

    Parameters
    ----------
    content : bytes
        JSON object with `kind`, `schema`, `name` and the fields of its schema.
    max_schema : int
        Highest schema version to accept.

    Returns
    -------
    Result[Record, RecordFault]
        The record, or the fault for which it is rejected.
    """
    if len(content) > RECORD_BYTES:
        return Error(RecordFault("record", "", f"larger than {RECORD_BYTES} bytes"))
    try:
        envelope = msgspec.json.decode(content, type=Envelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault("record", "", str(error)))
    return _decode_with_schema(content, envelope, max_schema)


def read_schema(content: bytes) -> int:
    """Return the schema version of an encoded record that is known to be valid."""
    return msgspec.json.decode(content, type=Envelope).schema


def _decode_with_schema(
    content: bytes, envelope: Envelope, max_schema: int
) -> Result[Record, RecordFault]:
    kind, name, schema = envelope.kind, envelope.name, envelope.schema
    if kind not in KINDS:
        kinds = ", ".join(KINDS)
        return Error(RecordFault(kind, name, f"unknown kind; kinds are {kinds}"))
    schema_type = SCHEMA_TYPES.get((kind, schema))
    if schema_type is None or schema > max_schema:
        versions = ", ".join(
            str(version)
            for record_kind, version in SCHEMA_TYPES
            if record_kind == kind and version <= max_schema
        )
        problem = f"schema version {schema} is not accepted; accepted are {versions}"
        return Error(RecordFault(kind, name, problem))
    try:
        return Ok(_convert_record(msgspec.json.decode(content, type=schema_type)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault(kind, name, str(error)))


def _convert_record(parsed: SchemaRecord) -> Record:
    """Convert a record of any schema version to the data model."""
    match parsed:
        case OrganisationV1(keys=keys, priority=priority):
            return Organisation(
                name=parsed.name,
                key_digests=tuple(key.removeprefix("sha256:") for key in keys),
                budget=parsed.budget,
                models=parsed.models,
                classes=(f"priority-{priority}",),
            )
        case OrganisationV2():
            return Organisation(**_copy_fields(parsed))
        case TargetV1(host=host, port=port, slots=slots):
            return Target(
                name=parsed.name,
                service=parsed.service,
                address=f"{host}:{port}",
                zone=parsed.zone,
                models=parsed.models,
                concurrency=slots,
            )
        case TargetV2():
            return Target(**_copy_fields(parsed))
        case BudgetV1():
            return Budget(**_copy_fields(parsed))
        case WorkClassV1():
            return WorkClass(**_copy_fields(parsed))
        case ModelV1():
            return Model(**_copy_fields(parsed))
        case ServiceV1():
            return Service(parsed.name, parsed.type, parsed.checks_fencing)


def _copy_fields(parsed: SchemaRecord) -> dict[str, Any]:
    fields = msgspec.structs.asdict(parsed)
    del fields["kind"], fields["schema"]
    return fields


def encode_record(record: Record) -> bytes:
    """Encode a record with the newest schema version of its kind."""
    kind = name_record(record).kind.value
    schema = max(
        version for record_kind, version in SCHEMA_TYPES if record_kind == kind
    )
    fields = msgspec.to_builtins(record)
    if isinstance(record, Service):
        fields["type"] = fields.pop("kind")
    envelope = {"kind": kind, "schema": schema, "name": record.name}
    return msgspec.json.encode(envelope | fields)
