"""Commands on configuration records."""

import argparse
import json
import sys
import uuid
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from kingcuphead.cli._client import Call, CallFault, CallResult, Client
from kingcuphead.cli._exit_codes import ExitCode
from kingcuphead.cli._keys import digest_key, make_key
from kingcuphead.cli._output import Output

CommandResult = Result[Output, CallFault]
Edit = Callable[[Mapping[str, Any]], Mapping[str, Any]]

#: Schema version in which the tool writes records, by kind; 1 for other kinds.
SCHEMAS = {"organisation": 2, "target": 2}
#: Columns of the table that `list` prints, by kind.
COLUMNS = {
    "organisation": (
        "name",
        "budget",
        "models",
        "services",
        "classes",
        "weight",
        "revision",
    ),
    "budget": ("name", "policy", "revision"),
    "class": ("name", "rank", "deadline", "ageing", "share", "revision"),
    "model": (
        "name",
        "versions",
        "max_output_tokens",
        "template_tokens",
        "revision",
    ),
    "service": ("name", "type", "checks_fencing", "revision"),
    "target": (
        "name",
        "service",
        "address",
        "zone",
        "models",
        "concurrency",
        "draining",
        "revision",
    ),
}


def make_path(kind: str, name: str = "") -> str:
    """Return the path of one record, or of all records of a kind."""
    return f"/records/{kind}/{name}" if name else f"/records/{kind}"


def list_records(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """List the records of a kind."""
    kind = arguments.kind
    return client.get(make_path(kind)).map(
        lambda views: Output(views, [_flatten(view) for view in views], COLUMNS[kind])
    )


def show_record(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show all fields of a record."""
    return client.get(make_path(arguments.kind, arguments.name)).map(
        lambda view: Output(
            view,
            [{"field": key, "value": value} for key, value in _flatten(view).items()],
            ("field", "value"),
        )
    )


def create_record(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Create a record from the options given."""
    fields = _read_fields(arguments)
    key = _add_keys(fields, arguments)
    created = _put_record(client, arguments, fields, {"If-None-Match": "*"})
    return created.map(lambda view: _make_output(view, arguments, key))


def change_record(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Change the given fields of a record.

    The change is refused if the record changes between its read and its write.
    """
    match _fetch_record(client, arguments):
        case Result(tag="ok", ok=view):
            fields = dict(view["record"])
            if fields["schema"] != SCHEMAS.get(arguments.kind, 1):
                return Error(_refuse_old_schema(arguments, fields["schema"]))
            fields |= _read_fields(arguments)
            key = _add_keys(fields, arguments)
            headers = {"If-Match": str(view["revision"])}
            changed = _put_record(client, arguments, fields, headers)
            return changed.map(lambda reply: _make_output(reply, arguments, key))
        case Result(error=fault):
            return Error(fault)


def delete_record(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Remove a record.

    The removal is refused if the record changes between its read and its removal.
    """
    match _fetch_record(client, arguments):
        case Result(tag="ok", ok=view):
            headers = _make_headers(arguments, {"If-Match": str(view["revision"])})
            path = make_path(arguments.kind, arguments.name)
            deleted = client.call(Call("DELETE", path, headers=headers))
            return deleted.map(lambda reply: _make_output(reply, arguments))
        case Result(error=fault):
            return Error(fault)


def apply_file(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Write the records of a JSON file as one change.

    The change is refused if any of the records changes between its read and its write.
    """
    match _load_records(arguments.file):
        case Result(tag="ok", ok=records):
            pass
        case Result(error=fault):
            return Error(fault)
    edits: list[dict[str, Any]] = []
    for record in records:
        match client.get(make_path(str(record.get("kind")), str(record.get("name")))):
            case Result(tag="ok", ok=view):
                expected = view["revision"]
            case Result(error=fault) if fault.detail and _is_absent(fault):
                expected = 0
            case Result(error=fault):
                return Error(fault)
        edits.append({"type": "put", "record": record, "expected": expected})
    return _submit_edits(client, arguments, edits)


def raise_schema(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Raise the highest schema version of records that the fleet accepts."""
    return _submit_edits(
        client, arguments, [{"type": "raise_schema", "schema": arguments.version}]
    )


def _submit_edits(
    client: Client, arguments: argparse.Namespace, edits: list[dict[str, Any]]
) -> CommandResult:
    """Submit several edits as one change."""
    id_ = arguments.change_id or uuid.uuid4().hex
    body = {
        "id": id_,
        "author": client.author,
        "edits": edits,
        "repeated": arguments.change_id is not None,
    }
    reply = _add_repeat_hint(client.call(Call("POST", "/changes", body)), id_)
    return reply.map(
        lambda view: Output(view, note=f"revision {view['revision']} is accepted")
    )


def _is_absent(fault: CallFault) -> bool:
    return bool(fault.detail.get("kind") == "not_found")


def _load_records(path: str) -> Result[list[dict[str, Any]], CallFault]:
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
        content = json.loads(text)
    except (OSError, ValueError) as error:
        return Error(CallFault(ExitCode.USAGE, f"{path}: {error}"))
    records = content if isinstance(content, list) else [content]
    if not all(isinstance(record, dict) for record in records):
        message = f"{path}: a record or a list of records is needed"
        return Error(CallFault(ExitCode.USAGE, message))
    return Ok(records)


def _fetch_record(client: Client, arguments: argparse.Namespace) -> CallResult:
    """Fetch the record; `--revision`, if given, replaces the revision fetched.

    If the two revisions differ, the daemon refuses the change as a conflict.
    """
    reply = client.get(make_path(arguments.kind, arguments.name))
    return reply.map(
        lambda view: view | {"revision": arguments.revision or view["revision"]}
    )


def _put_record(
    client: Client,
    arguments: argparse.Namespace,
    fields: dict[str, Any],
    headers: dict[str, str],
) -> CallResult:
    sent = _make_headers(arguments, headers)
    path = make_path(arguments.kind, arguments.name)
    return _add_repeat_hint(
        client.call(Call("PUT", path, fields, sent)), sent["Change-Id"]
    )


def _make_headers(
    arguments: argparse.Namespace, headers: dict[str, str]
) -> dict[str, str]:
    id_ = {"Change-Id": arguments.change_id or uuid.uuid4().hex}
    repeated = {"Change-Repeated": "true"} if arguments.change_id else {}
    return headers | id_ | repeated


def _add_repeat_hint(reply: CallResult, id_: str) -> CallResult:
    """Add the id for repeating the command to the message of an uncertain outcome."""
    return reply.map_error(
        lambda fault: CallFault(
            fault.code,
            f"{fault.message}\nrepeat it with --change-id {id_}"
            if fault.code is ExitCode.UNCERTAIN
            else fault.message,
            fault.detail,
        )
    )


def _read_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    """Return the record's kind, schema and name, and the fields that options set."""
    given = {
        name: value
        for name, value in vars(arguments).items()
        if name in arguments.fields and value is not None
    }
    schema = SCHEMAS.get(arguments.kind, 1)
    return {"kind": arguments.kind, "schema": schema, "name": arguments.name} | given


def _add_keys(fields: dict[str, Any], arguments: argparse.Namespace) -> str | None:
    """Update the key digests of an organisation and return a generated key, if any.

    The generated key is printed once; the record contains only its digest.
    """
    if arguments.kind != "organisation":
        return None
    digests = list(fields.get("key_digests", ()))
    digests.extend(digest_key(key) for key in arguments.key or ())
    new = make_key() if arguments.new_key else None
    if new is not None:
        digests.append(digest_key(new))
    revoked = {digest_key(key) for key in arguments.revoke_key or ()}
    revoked |= set(arguments.revoke_digest or ())
    kept = dict.fromkeys(digest for digest in digests if digest not in revoked)
    fields["key_digests"] = list(kept)
    return new


def _make_output(
    view: Any, arguments: argparse.Namespace, new_key: str | None = None
) -> Output:
    name = f"{arguments.kind} {arguments.name}"
    note = f"{name}: revision {view['revision']} is accepted"
    if new_key is None:
        return Output(view, note=note)
    shown = f"{note}\nnew key, shown only once: {new_key}"
    return Output(view | {"new_key": new_key}, note=shown)


def _flatten(view: Mapping[str, Any]) -> dict[str, Any]:
    return dict(view["record"]) | {"revision": view["revision"]}


def _refuse_old_schema(arguments: argparse.Namespace, schema: int) -> CallFault:
    message = (
        f"{arguments.kind} {arguments.name} is written under schema version {schema}; "
        "rewrite it with `kingcuphead record apply FILE`"
    )
    return CallFault(ExitCode.REFUSED, message)
