"""HTTP client of a daemon's operators' API."""

import dataclasses
import errno
from typing import Any

import msgspec
from expression import Error, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from kingcuphead.cli._exit_codes import EXIT_CODES, ExitCode
from kingcuphead.operators import FaultKind

#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_SECONDS = 3.0
#: Timeout of a call, in seconds; longer than a daemon's own timeout for a command.
REQUEST_TIMEOUT_SECONDS = 20.0
#: Errors of connections that were never opened, so that nothing was sent.
CONNECT_ERRNOS = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request to the operators' API."""

    #: HTTP method.
    method: str
    #: Path and query string.
    path: str
    #: Value of the JSON body; None for no body.
    body: Any = None
    #: Headers besides `Authorization` and `Operator`.
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def is_change(self) -> bool:
        """Whether the call may change the state of the fleet."""
        return self.method != "GET"


@dataclasses.dataclass(frozen=True, slots=True)
class CallFault:
    """A call that failed."""

    #: Exit code of the tool; states whether the command may have taken effect.
    code: ExitCode
    #: Error message for the operator.
    message: str
    #: Error object of the response, for `--json`; None if there is none.
    detail: Any = None


CallResult = Result[Any, CallFault]


class Client:
    """Client of one daemon.

    Parameters
    ----------
    server : str
        IP number and port of the daemon's operators' API.
    token : str
        Operator's bearer token.
    author : str
        Name under which changes are recorded.
    """

    def __init__(self, server: str, token: str, author: str) -> None:
        self._server = server
        self._headers = {"Authorization": f"Bearer {token}", "Operator": author}
        #: Name under which changes are recorded.
        self.author = author

    def get(self, path: str) -> CallResult:
        """Send a GET request and wait for its reply."""
        return self.call(Call("GET", path))

    def call(self, call: Call) -> CallResult:
        """Send a call and wait for its reply."""
        result: CallResult = IOLoop().run_sync(lambda: self._fetch(call))
        return result

    async def _fetch(self, call: Call) -> CallResult:
        body = None if call.body is None else msgspec.json.encode(call.body)
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            f"http://{self._server}{call.path}",
            method=call.method,
            body=body,
            headers=HTTPHeaders(self._headers | call.headers),
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return Error(self._describe_missing_reply(call, error))
        finally:
            client.close()
        return self._parse_response(call, response)

    def _describe_missing_reply(self, call: Call, error: BaseException) -> CallFault:
        """Describe a call that got no reply.

        The exit code is `UNCERTAIN` for a change that may have been sent, else
        `UNREACHABLE`.
        """
        never_sent = isinstance(error, OSError) and error.errno in CONNECT_ERRNOS
        never_sent |= "while connecting" in str(error)
        if never_sent or not call.is_change:
            message = f"{self._server} was not reached: {error}"
            return CallFault(ExitCode.UNREACHABLE, message)
        message = (
            f"no answer from {self._server} ({error}); "
            "the command may have taken effect"
        )
        return CallFault(ExitCode.UNCERTAIN, message)

    def _parse_response(self, call: Call, response: HTTPResponse) -> CallResult:
        if response.code == 599:
            cause = response.error or OSError("no answer")
            return Error(self._describe_missing_reply(call, cause))
        if "json" not in response.headers.get("Content-Type", ""):
            message = f"{self._server} is no operators' API (HTTP {response.code})"
            return Error(CallFault(ExitCode.REFUSED, message))
        content = msgspec.json.decode(response.body)
        if response.code < 300:
            return Ok(content)
        fault = content.get("error", content)
        message = fault.get("message", f"HTTP {response.code}")
        kind = fault.get("kind", FaultKind.INVALID)
        code = EXIT_CODES.get(kind, ExitCode.REFUSED)
        return Error(CallFault(code, message, fault))
