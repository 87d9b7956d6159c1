"""Decode and encode records, each schema version in its own form."""

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
    FORMS,
    BudgetV1,
    Envelope,
    ModelV1,
    OrganisationV1,
    OrganisationV2,
    ServiceV1,
    TargetV1,
    TargetV2,
    WorkClassV1,
    WrittenRecord,
)

#: Highest schema version that this build reads.
SCHEMA = 2
#: Largest encoded record in bytes.
RECORD_BYTES = 65_536


def decode_record(content: bytes, highest: int = SCHEMA) -> Result[Record, RecordFault]:
    """Decode one record.

    Parameters
    ----------
    content : bytes
        JSON object with `kind`, `schema`, `name` and the fields of its schema.
    highest : int
        Highest schema version to accept.

    Returns
    -------
    Result[Record, RecordFault]
        The record, or why it is refused.
    """
    if len(content) > RECORD_BYTES:
        return Error(RecordFault("record", "", f"larger than {RECORD_BYTES} bytes"))
    try:
        envelope = msgspec.json.decode(content, type=Envelope)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault("record", "", str(error)))
    return _decode_form(content, envelope, highest)


def read_schema(content: bytes) -> int:
    """Return the schema version of a record that was accepted before."""
    return msgspec.json.decode(content, type=Envelope).schema


def _decode_form(
    content: bytes, envelope: Envelope, highest: int
) -> Result[Record, RecordFault]:
    kind, name, schema = envelope.kind, envelope.name, envelope.schema
    if kind not in KINDS:
        known = ", ".join(KINDS)
        return Error(RecordFault(kind, name, f"unknown kind; known are {known}"))
    form = FORMS.get((kind, schema))
    if form is None or schema > highest:
        known = ", ".join(
            str(number) for of, number in FORMS if of == kind and number <= highest
        )
        problem = f"schema version {schema} is not accepted; accepted are {known}"
        return Error(RecordFault(kind, name, problem))
    try:
        return Ok(_convert(msgspec.json.decode(content, type=form)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault(kind, name, str(error)))


def _convert(written: WrittenRecord) -> Record:
    """Turn any written form into the form that the daemon uses."""
    match written:
        case OrganisationV1(keys=keys, priority=priority):
            return Organisation(
                name=written.name,
                key_digests=tuple(key.removeprefix("sha256:") for key in keys),
                budget=written.budget,
                models=written.models,
                classes=(f"priority-{priority}",),
            )
        case OrganisationV2():
            return Organisation(**_copy_fields(written))
        case TargetV1(host=host, port=port, slots=slots):
            return Target(
                name=written.name,
                service=written.service,
                address=f"{host}:{port}",
                zone=written.zone,
                models=written.models,
                concurrency=slots,
            )
        case TargetV2():
            return Target(**_copy_fields(written))
        case BudgetV1():
            return Budget(**_copy_fields(written))
        case WorkClassV1():
            return WorkClass(**_copy_fields(written))
        case ModelV1():
            return Model(**_copy_fields(written))
        case ServiceV1():
            return Service(written.name, written.type, written.checks_fencing)


def _copy_fields(written: WrittenRecord) -> dict[str, Any]:
    fields = msgspec.structs.asdict(written)
    del fields["kind"], fields["schema"]
    return fields


def encode_record(record: Record) -> bytes:
    """Encode a record under the newest schema version of its kind."""
    kind = name_record(record).kind.value
    schema = max(number for of, number in FORMS if of == kind)
    fields = msgspec.to_builtins(record)
    if isinstance(record, Service):
        fields["type"] = fields.pop("kind")
    envelope = {"kind": kind, "schema": schema, "name": record.name}
    return msgspec.json.encode(envelope | fields)
