"""Calls to a daemon's operators' API."""

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

#: Seconds to open a connection to the daemon.
CONNECT_SECONDS = 3.0
#: Seconds until the daemon answers; longer than it works on one command.
REQUEST_SECONDS = 20.0
#: Errors of a connection that never opened.
NOT_CONNECTED = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call."""

    #: HTTP method.
    method: str
    #: Path with its query.
    path: str
    #: JSON body, or None.
    body: Any = None
    #: Further headers.
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def is_change(self) -> bool:
        """Whether the call changes something."""
        return self.method != "GET"


@dataclasses.dataclass(frozen=True, slots=True)
class CallFault:
    """Why a call brought no answer."""

    #: Exit code that says what may have happened.
    code: ExitCode
    #: The sentence that the operator reads.
    message: str
    #: The answer's fault as JSON, for programs.
    detail: Any = None


Answer = Result[Any, CallFault]


class Client:
    """Calls one daemon.

    Parameters
    ----------
    server : str
        IP number and port of the operators' API.
    token : str
        The operator's token.
    author : str
        Name under which changes are recorded.
    """

    def __init__(self, server: str, token: str, author: str) -> None:
        self._server = server
        self._headers = {"Authorization": f"Bearer {token}", "Operator": author}
        #: Name under which changes are recorded.
        self.author = author

    def get(self, path: str) -> Answer:
        """Read something."""
        return self.call(Call("GET", path))

    def call(self, call: Call) -> Answer:
        """Make one call and wait for its answer."""
        result: Answer = IOLoop().run_sync(lambda: self._fetch(call))
        return result

    async def _fetch(self, call: Call) -> Answer:
        body = None if call.body is None else msgspec.json.encode(call.body)
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            f"http://{self._server}{call.path}",
            method=call.method,
            body=body,
            headers=HTTPHeaders(self._headers | call.headers),
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=REQUEST_SECONDS,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return Error(self._describe_silence(call, error))
        finally:
            client.close()
        return self._read_answer(call, response)

    def _describe_silence(self, call: Call, error: BaseException) -> CallFault:
        """Tell a connection that never opened from an answer that never came."""
        never_sent = isinstance(error, OSError) and error.errno in NOT_CONNECTED
        never_sent |= "while connecting" in str(error)
        if never_sent or not call.is_change:
            message = f"{self._server} was not reached: {error}"
            return CallFault(ExitCode.UNREACHABLE, message)
        message = f"no answer from {self._server} ({error}); it may have taken effect"
        return CallFault(ExitCode.UNCERTAIN, message)

    def _read_answer(self, call: Call, response: HTTPResponse) -> Answer:
        if response.code == 599:
            cause = response.error or OSError("no answer")
            return Error(self._describe_silence(call, cause))
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
