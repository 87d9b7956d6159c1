"""Commands on budgets and on the state of daemons."""

import argparse
import urllib.parse
import uuid
from typing import Any

from expression import Result

from kingcuphead.cli._client import Call, CallFault, CallResult, Client
from kingcuphead.cli._exit_codes import ExitCode
from kingcuphead.cli._keys import digest_key, make_key
from kingcuphead.cli._output import Output

CommandResult = Result[Output, CallFault]

SPEND_COLUMNS = ("budget", "limit", "settled", "granted", "unattributed", "remaining")
GRANT_COLUMNS = ("budget", "grant_id", "holder", "amount", "unattributed")


def quote(text: str) -> str:
    """Percent-encode a text as one path segment."""
    return urllib.parse.quote(text, safe="")


def show_spend(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the limit, settled tokens and open grants of one budget or of all."""
    return _read_budgets(client, arguments).map(
        lambda reports: Output(
            reports, [_add_grant_totals(r) for r in reports], SPEND_COLUMNS
        )
    )


def show_grants(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the open grants of one budget or of all."""
    return _read_budgets(client, arguments).map(
        lambda reports: Output(_list_grants(reports), columns=GRANT_COLUMNS)
    )


def show_unattributed(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the open grants whose holder has ended or is not listed."""
    return _read_budgets(client, arguments).map(
        lambda reports: Output(
            [grant for grant in _list_grants(reports) if grant["unattributed"]],
            columns=GRANT_COLUMNS,
        )
    )


def _read_budgets(client: Client, arguments: argparse.Namespace) -> CallResult:
    if arguments.budget:
        reply = client.get(f"/budgets/{quote(arguments.budget)}")
        return reply.map(lambda report: [report])
    return client.get("/budgets")


def _add_grant_totals(report: dict[str, Any]) -> dict[str, Any]:
    grants = report["grants"]
    unattributed = sum(grant["amount"] for grant in grants if grant["unattributed"])
    granted = sum(grant["amount"] for grant in grants)
    return report | {"granted": granted, "unattributed": unattributed}


def _list_grants(reports: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        {"budget": report["budget"]} | grant
        for report in reports
        for grant in report["grants"]
    ]


def fund_budget(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Set the first limit of a budget."""
    body = {"limit": arguments.limit}
    return _send_command(client, arguments, "POST", f"/budgets/{arguments.name}", body)


def top_up_budget(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Raise the limit of a budget by a payment."""
    path = f"/budgets/{arguments.name}/top-ups"
    return _send_command(client, arguments, "POST", path, {"tokens": arguments.tokens})


def lower_budget(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Lower the limit of a budget."""
    path = f"/budgets/{arguments.name}/limit"
    return _send_command(client, arguments, "PUT", path, {"limit": arguments.limit})


def release_grant(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Return the grant of a terminated instance to its budget."""
    grant = quote(arguments.grant)
    path = f"/budgets/{arguments.name}/grants/{grant}/release"
    return _send_command(client, arguments, "POST", path, {})


def _send_command(
    client: Client,
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: dict[str, Any],
) -> CommandResult:
    """Send a command with an id.

    The message of an uncertain outcome includes the id for repeating the command.
    """
    id_ = arguments.id or uuid.uuid4().hex
    reply = client.call(Call(method, path, body | {"id": id_}))
    return reply.map(
        lambda report: Output(report, [_add_grant_totals(report)], SPEND_COLUMNS)
    ).map_error(
        lambda fault: CallFault(
            fault.code,
            f"{fault.message}\nrepeat it with --id {id_}"
            if fault.code is ExitCode.UNCERTAIN
            else fault.message,
            fault.detail,
        )
    )


def show_history(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show accepted configuration changes."""
    path = f"/changes?after={arguments.after}&limit={arguments.limit}"
    columns = ("revision", "at", "author", "touched", "id")
    return client.get(path).map(lambda changes: Output(changes, columns=columns))


def show_revision(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the configuration revision in force on the daemon and on its peers."""
    return client.get("/revision").map(_format_revision)


def _format_revision(view: dict[str, Any]) -> Output:
    own = {"instance": view["instance"], "revision": view["revision"]}
    state = {"freshness": view["freshness"], "confirmed_age": view["confirmed_age"]}
    rows = [own | state, *view["peers"]]
    columns = ("instance", "zone", "revision", "freshness", "confirmed_age")
    note = f"records up to schema version {view['schema']} are accepted"
    return Output(view, rows, columns, note)


def show_live_targets(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the targets and their state on one daemon."""
    columns = ("name", "service", "address", "state", "in_flight", "limit")
    return client.get("/targets").map(lambda rows: Output(rows, columns=columns))


def show_quarantine(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the fingerprints of quarantined requests."""
    columns = ("fingerprint", "targets", "remaining")
    return client.get("/quarantine").map(lambda rows: Output(rows, columns=columns))


def release_fingerprint(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Release a request from quarantine."""
    path = f"/quarantine/{quote(arguments.fingerprint)}"
    note = f"{arguments.fingerprint} is released"
    return client.call(Call("DELETE", path)).map(lambda view: Output(view, note=note))


def explain_request(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show the outcome of a request and its cause."""
    columns = (
        "instance",
        "organisation",
        "work_class",
        "execution",
        "reason",
        "message",
        "phases",
    )
    reply = client.get(f"/explain/{quote(arguments.request)}")
    return reply.map(lambda rows: Output(rows, columns=columns))


def show_claims(client: Client, arguments: argparse.Namespace) -> CommandResult:
    """Show an organisation's claims, one for each call that runs at most once."""
    columns = ("key", "state", "request_id", "instance", "claimed_at")
    reply = client.get(f"/claims/{quote(arguments.organisation)}")
    return reply.map(lambda rows: Output(rows, columns=columns))


def make_token() -> Output:
    """Generate an operator's token and its digest; calls no daemon."""
    token = make_key()
    digest = digest_key(token)
    note = f"token, shown only once: {token}\ndigest for token_digests: {digest}"
    return Output({"token": token, "digest": digest}, note=note)


def print_token(arguments: argparse.Namespace) -> int:
    """Print a new operator's token."""
    print(make_token().format(arguments.json))
    return ExitCode.OK
