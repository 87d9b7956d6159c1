"""Entry point of the command-line tool."""

import argparse
import getpass
import json
import os
import re
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from expression import Error, Ok, Result

from kingcuphead.cli._client import CallFault, Client
from kingcuphead.cli._exit_codes import ExitCode
from kingcuphead.cli._output import Output
from kingcuphead.cli._parser import make_parser

#: IP number and port of a daemon.
SERVER_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


def main(
    arguments: Sequence[str] | None = None, environment: Mapping[str, str] = os.environ
) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program's name; those of the process if None.
    environment : mapping
        Environment variables, used for options that aren't given.

    Returns
    -------
    int
        Value of an `ExitCode`, or of a `CheckStatus` for `check`.
    """
    parsed = make_parser().parse_args(arguments)
    if parsed.run is None:
        # Commands without a server have `run_locally` in place of `run`.
        status: int = parsed.run_locally(parsed)
        return status
    result: Result[Output, CallFault] = _make_client(parsed, environment).bind(
        lambda client: parsed.run(client, parsed)
    )
    if result.is_error():
        return _report_fault(result.error, parsed.json)
    print(result.ok.format(parsed.json))
    return ExitCode.OK


def _report_fault(fault: CallFault, as_json: bool) -> int:
    if as_json:
        content = {"error": fault.detail or {"message": fault.message}}
        print(json.dumps(content | {"exit_code": int(fault.code)}, indent=2))
    print(f"kingcuphead: {fault.message}", file=sys.stderr)
    return fault.code


def _make_client(
    parsed: argparse.Namespace, environment: Mapping[str, str]
) -> Result[Client, CallFault]:
    server = parsed.server or environment.get("KINGCUPHEAD_SERVER", "")
    if not SERVER_PATTERN.fullmatch(server):
        message = f"--server or KINGCUPHEAD_SERVER: {server!r} is not IP:PORT"
        return Error(CallFault(ExitCode.USAGE, message))
    match _read_token(parsed, environment):
        case Result(tag="ok", ok=token):
            author = parsed.author or _find_author(environment)
            return Ok(Client(server, token, author))
        case Result(error=fault):
            return Error(fault)


def _read_token(
    parsed: argparse.Namespace, environment: Mapping[str, str]
) -> Result[str, CallFault]:
    path = parsed.token_file or environment.get("KINGCUPHEAD_TOKEN_FILE")
    token = environment.get("KINGCUPHEAD_TOKEN", "")
    if path:
        try:
            token = Path(path).read_text().strip()
        except OSError as error:
            return Error(CallFault(ExitCode.USAGE, f"token file: {error}"))
    if not token:
        message = "no token: set KINGCUPHEAD_TOKEN or give --token-file"
        return Error(CallFault(ExitCode.USAGE, message))
    return Ok(token)


def _find_author(environment: Mapping[str, str]) -> str:
    try:
        return environment.get("USER") or getpass.getuser()
    except (KeyError, OSError):
        return "unnamed"
