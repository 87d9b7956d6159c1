"""Argument parser of the command-line tool."""

import argparse
from typing import Any

from kingcuphead.cli import _record_commands as records, _state_commands as state
from kingcuphead.cli._check import check_files
from kingcuphead.cli._fields import FIELDS, KIND_HELP, Field

EPILOG = """\
Every change applies to the revision that was read; if another change was
accepted since then, the tool names that change and ends with code 3.

environment:
  KINGCUPHEAD_SERVER      IP:PORT of a daemon's operators' API
  KINGCUPHEAD_TOKEN       operator's token
  KINGCUPHEAD_TOKEN_FILE  file that holds the token

exit codes:
  0  done
  1  refused; nothing was changed
  2  wrong command line; nothing was sent
  3  conflict with another change; nothing was changed
  4  daemon or platform not reached; nothing was changed
  5  outcome unknown; repeat the command with the id that is shown
  check: 0 no finding, 1 warnings or something taken from callers, 2 errors

example:
  kingcuphead model create large --versions 1 --max-output-tokens 4096
  kingcuphead class create interactive --rank 0 --deadline 5
  kingcuphead budget create main --limit 1000000
  kingcuphead organisation create atelier --budget main --models large \\
      --classes interactive --new-key
"""

Subparsers = Any


def make_parser() -> argparse.ArgumentParser:
    """Return the parser.

    Each command sets `run` to its function, or to None if it calls no daemon.
    """
    parser = argparse.ArgumentParser(
        prog="kingcuphead",
        description="Operate a fleet: configuration, budgets, targets, requests.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--server", metavar="IP:PORT", help="a daemon's operators' API")
    parser.add_argument("--token-file", metavar="FILE", help="file with the token")
    parser.add_argument("--author", metavar="NAME", help="name recorded in the history")
    parser.add_argument("--json", action="store_true", help="print JSON for programs")
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    for kind in FIELDS:
        _add_record_kind(commands, kind)
    _add_record_command(commands)
    _add_configuration_commands(commands)
    _add_budget_reports(commands)
    _add_request_commands(commands)
    _add_local_commands(commands)
    return parser


def _add_record_kind(commands: Subparsers, kind: str) -> None:
    parser = commands.add_parser(kind, help=KIND_HELP[kind])
    verbs = parser.add_subparsers(metavar="VERB", required=True)
    listing = verbs.add_parser("list", help="list all")
    listing.set_defaults(run=records.list_records, kind=kind)
    show = verbs.add_parser("show", help="show one")
    show.add_argument("name")
    show.set_defaults(run=records.show_record, kind=kind)
    _add_edit(verbs, kind, "create", "create one", records.create_record)
    _add_edit(verbs, kind, "change", "change given fields", records.change_record)
    delete = verbs.add_parser("delete", help="remove one")
    delete.add_argument("name")
    _add_change_options(delete)
    delete.set_defaults(run=records.delete_record, kind=kind)
    match kind:
        case "budget":
            _add_budget_verbs(verbs)
        case "target":
            live = verbs.add_parser("state", help="state of the targets on one daemon")
            live.set_defaults(run=state.show_live_targets)


def _add_edit(verbs: Subparsers, kind: str, verb: str, help_: str, run: Any) -> None:
    parser = verbs.add_parser(verb, help=help_)
    parser.add_argument("name")
    is_create = verb == "create"
    for field in FIELDS[kind]:
        _add_field(parser, field, field.required and is_create)
    match kind:
        case "organisation":
            _add_key_options(parser)
        case "budget" if is_create:
            parser.add_argument(
                "--limit", type=int, help="set its first limit, in tokens"
            )
            run = create_budget
    _add_change_options(parser)
    names = tuple(field.name for field in FIELDS[kind])
    parser.set_defaults(run=run, kind=kind, fields=names)


def create_budget(client: Any, arguments: argparse.Namespace) -> state.CommandResult:
    """Create a budget's record, and set its first limit if one is given."""
    created = records.create_record(client, arguments)
    if created.is_error() or arguments.limit is None:
        return created
    arguments.id = arguments.change_id
    return state.fund_budget(client, arguments)


def _add_field(parser: argparse.ArgumentParser, field: Field, required: bool) -> None:
    parser.add_argument(
        field.option, type=field.parse, required=required, help=field.help
    )


def _add_key_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("--key", action="append", help="add a bearer key; only its digest is sent")
    add("--new-key", action="store_true", help="make a key and show it once")
    add("--revoke-key", action="append", metavar="KEY", help="remove a key")
    add("--revoke-digest", action="append", metavar="DIGEST", help="remove a digest")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    add = parser.add_argument
    add("--revision", type=int, help="revision of the record that you have read")
    add("--change-id", metavar="ID", help="repeat an uncertain change under its id")


def _add_budget_verbs(verbs: Subparsers) -> None:
    for verb, help_, option, run in (
        ("fund", "set its first limit", "limit", state.fund_budget),
        ("top-up", "raise the limit by a payment", "tokens", state.top_up_budget),
        (
            "lower",
            "lower the limit",
            "limit",
            state.lower_budget,
        ),
    ):
        parser = verbs.add_parser(verb, help=help_)
        parser.add_argument("name")
        parser.add_argument(option, type=int, help="tokens")
        _add_payment_id(parser)
        parser.set_defaults(run=run)


def _add_payment_id(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--id", help="id of the payment; a repetition has no effect")


def _add_record_command(commands: Subparsers) -> None:
    parser = commands.add_parser("record", help="write records from files")
    verbs = parser.add_subparsers(metavar="VERB", required=True)
    apply = verbs.add_parser("apply", help="write the records of FILE together")
    apply.add_argument("file", help="JSON: a record or a list of them; - is stdin")
    apply.add_argument("--change-id", metavar="ID", help="repeat an uncertain change")
    apply.set_defaults(run=records.apply_file)
    schema = verbs.add_parser("schema", help="accept records up to a schema version")
    schema.add_argument(
        "version", type=int, help="schema version that every daemon can read"
    )
    schema.add_argument("--change-id", metavar="ID", help="repeat an uncertain change")
    schema.set_defaults(run=records.raise_schema)


def _add_configuration_commands(commands: Subparsers) -> None:
    history = commands.add_parser("history", help="accepted changes")
    history.add_argument("--after", type=int, default=0, help="revision to start after")
    history.add_argument("--limit", type=int, default=100, help="most changes shown")
    history.set_defaults(run=state.show_history)
    revision = commands.add_parser("revision", help="revision in force on each daemon")
    revision.set_defaults(run=state.show_revision)


def _add_budget_reports(commands: Subparsers) -> None:
    for name, help_, run in (
        ("spend", "limits and spending", state.show_spend),
        ("grants", "open grants", state.show_grants),
        (
            "unattributed",
            "grants of terminated or unlisted instances",
            state.show_unattributed,
        ),
    ):
        parser = commands.add_parser(name, help=help_)
        parser.add_argument("budget", nargs="?", help="only this budget")
        parser.set_defaults(run=run)
    release = commands.add_parser(
        "release", help="return a terminated instance's grant"
    )
    release.add_argument("name", metavar="budget")
    release.add_argument("grant")
    _add_payment_id(release)
    release.set_defaults(run=state.release_grant)


def _add_request_commands(commands: Subparsers) -> None:
    quarantine = commands.add_parser("quarantine", help="requests that crash targets")
    verbs = quarantine.add_subparsers(metavar="VERB", required=True)
    listing = verbs.add_parser("list", help="list fingerprints")
    listing.set_defaults(run=state.show_quarantine)
    release = verbs.add_parser("release", help="let a request run again")
    release.add_argument("fingerprint")
    release.set_defaults(run=state.release_fingerprint)
    explain = commands.add_parser("explain", help="outcome of a request and its cause")
    explain.add_argument("request", help="request id from the answer or the log")
    explain.set_defaults(run=state.explain_request)
    claims = commands.add_parser("claims", help="calls that run at most once")
    claims.add_argument("organisation")
    claims.set_defaults(run=state.show_claims)


def _add_local_commands(commands: Subparsers) -> None:
    token = commands.add_parser("token", help="make an operator's token")
    token.set_defaults(run=None, run_locally=state.print_token)
    check = commands.add_parser("check", help="check a routing configuration file")
    check.add_argument("file", help="routing configuration as JSON")
    check.add_argument(
        "--against",
        metavar="FILE",
        help="the version in force: a file, or store:HOST:PORT to read it there",
    )
    # Without SUPPRESS, the default would override a --json before the command.
    check.add_argument(
        "--json",
        action="store_true",
        default=argparse.SUPPRESS,
        help="print JSON for programs",
    )
    check.set_defaults(run=None, run_locally=check_files)
