"""Commands on configuration records."""

import argparse
import json
import sys
import uuid
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from kingcuphead.cli._client import Answer, Call, CallFault, Client
from kingcuphead.cli._exit_codes import ExitCode
from kingcuphead.cli._keys import digest_key, make_key
from kingcuphead.cli._output import Output

Outcome = Result[Output, CallFault]
Edit = Callable[[Mapping[str, Any]], Mapping[str, Any]]

#: Schema version that the tool writes, by kind.
SCHEMAS = {"organisation": 2, "target": 2}
#: Columns of the tables, by kind.
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
    """Return the path of a kind or of a record."""
    return f"/records/{kind}/{name}" if name else f"/records/{kind}"


def list_records(client: Client, arguments: argparse.Namespace) -> Outcome:
    """List the records of a kind."""
    kind = arguments.kind
    return client.get(make_path(kind)).map(
        lambda views: Output(views, [_flatten(view) for view in views], COLUMNS[kind])
    )


def show_record(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Show one record whole."""
    return client.get(make_path(arguments.kind, arguments.name)).map(
        lambda view: Output(
            view,
            [{"field": key, "value": value} for key, value in _flatten(view).items()],
            ("field", "value"),
        )
    )


def create_record(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Create a record from options."""
    fields = _read_fields(arguments)
    key = _add_keys(fields, arguments)
    created = _put(client, arguments, fields, {"If-None-Match": "*"})
    return created.map(lambda view: _report(view, arguments, key))


def change_record(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Change the given fields of a record, on the revision that is read now."""
    match _read(client, arguments):
        case Result(tag="ok", ok=view):
            fields = dict(view["record"])
            if fields["schema"] != SCHEMAS.get(arguments.kind, 1):
                return Error(_refuse_old_schema(arguments, fields["schema"]))
            fields |= _read_fields(arguments)
            key = _add_keys(fields, arguments)
            headers = {"If-Match": str(view["revision"])}
            changed = _put(client, arguments, fields, headers)
            return changed.map(lambda answer: _report(answer, arguments, key))
        case Result(error=fault):
            return Error(fault)


def delete_record(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Remove a record, on the revision that is read now."""
    match _read(client, arguments):
        case Result(tag="ok", ok=view):
            headers = _make_headers(arguments, {"If-Match": str(view["revision"])})
            path = make_path(arguments.kind, arguments.name)
            deleted = client.call(Call("DELETE", path, headers=headers))
            return deleted.map(lambda answer: _report(answer, arguments))
        case Result(error=fault):
            return Error(fault)


def apply_file(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Write the records of a JSON file together, on the revisions read now."""
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
    return _submit(client, arguments, edits)


def raise_schema(client: Client, arguments: argparse.Namespace) -> Outcome:
    """Let the fleet accept records up to a schema version."""
    return _submit(
        client, arguments, [{"type": "raise_schema", "schema": arguments.version}]
    )


def _submit(
    client: Client, arguments: argparse.Namespace, edits: list[dict[str, Any]]
) -> Outcome:
    """Make several edits as one change."""
    id_ = arguments.change_id or uuid.uuid4().hex
    body = {
        "id": id_,
        "author": client.author,
        "edits": edits,
        "repeated": arguments.change_id is not None,
    }
    answer = _name_id(client.call(Call("POST", "/changes", body)), id_)
    return answer.map(
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


def _read(client: Client, arguments: argparse.Namespace) -> Answer:
    """Return the record, or a conflict if `--revision` names another revision."""
    answer = client.get(make_path(arguments.kind, arguments.name))
    return answer.map(
        lambda view: view | {"revision": arguments.revision or view["revision"]}
    )


def _put(
    client: Client,
    arguments: argparse.Namespace,
    fields: dict[str, Any],
    headers: dict[str, str],
) -> Answer:
    sent = _make_headers(arguments, headers)
    path = make_path(arguments.kind, arguments.name)
    return _name_id(client.call(Call("PUT", path, fields, sent)), sent["Change-Id"])


def _make_headers(
    arguments: argparse.Namespace, headers: dict[str, str]
) -> dict[str, str]:
    id_ = {"Change-Id": arguments.change_id or uuid.uuid4().hex}
    repeated = {"Change-Repeated": "true"} if arguments.change_id else {}
    return headers | id_ | repeated


def _name_id(answer: Answer, id_: str) -> Answer:
    """Add to an uncertain outcome how to repeat the command."""
    return answer.map_error(
        lambda fault: CallFault(
            fault.code,
            f"{fault.message}\nrepeat it with --change-id {id_}"
            if fault.code is ExitCode.UNCERTAIN
            else fault.message,
            fault.detail,
        )
    )


def _read_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    """Return the record's fields that the command line gives."""
    given = {
        name: value
        for name, value in vars(arguments).items()
        if name in arguments.fields and value is not None
    }
    schema = SCHEMAS.get(arguments.kind, 1)
    return {"kind": arguments.kind, "schema": schema, "name": arguments.name} | given


def _add_keys(fields: dict[str, Any], arguments: argparse.Namespace) -> str | None:
    """Digest the keys of an organisation; return the new one, to be shown once."""
    if arguments.kind != "organisation":
        return None
    digests = list(fields.get("key_digests", ()))
    digests.extend(digest_key(key) for key in arguments.key or ())
    new = make_key() if arguments.new_key else None
    if new is not None:
        digests.append(digest_key(new))
    revoked = {digest_key(key) for key in arguments.revoke_key or ()}
    revoked |= set(arguments.revoke_digest or ())
    kept = dict.fromkeys(each for each in digests if each not in revoked)
    fields["key_digests"] = list(kept)
    return new


def _report(
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
