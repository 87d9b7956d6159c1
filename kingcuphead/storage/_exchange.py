"""One HTTP exchange with the platform, and whether its request was sent."""

import dataclasses
import urllib.parse
from asyncio import Future
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias, cast

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from kingcuphead.storage.wire import REFUSED_STATUS

#: Largest reply that is read, in bytes.
MAX_REPLY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How the platform is reached."""

    #: Address of the platform's HTTP interface, without a path.
    url: str
    #: Seconds to wait for a connection, time in the client's own queue included.
    connect_timeout: float = 1.0
    #: Seconds to wait for the reply to a request.
    request_timeout: float = 3.0
    #: Most requests in flight at once.
    max_connections: int = 64
    #: Media type of the bodies.
    content_type: str = "application/octet-stream"

    def with_changes(self, **changes: object) -> "PlatformSettings":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """The platform answered."""

    #: HTTP status.
    status: int
    #: Content of the answer.
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request certainly had no effect."""

    #: Cause, in English.
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """The request was sent, and no answer came."""

    #: Cause, in English.
    cause: str


Exchange: TypeAlias = Replied | NotSent | ReplyLost

#: How tornado's annotations describe a body producer; it may be a coroutine too.
_BodyProducer: TypeAlias = Callable[[Callable[[bytes], None]], Future[None]]


class PlatformConnection:
    """Sends requests to the platform; shared by the table, objects and list.

    Parameters
    ----------
    settings : PlatformSettings
        Address, timeouts and the bound on requests in flight.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=settings.max_connections,
            max_body_size=MAX_REPLY_BYTES,
        )

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        timeout: float | None = None,
    ) -> Exchange:
        """Send a request and wait for the answer.

        A body is produced on demand: if the client never asked for it, no byte
        of it left this process, and the platform can't have acted on it.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path, unquoted.
        body : bytes, optional
            Content of the request.
        query : Mapping[str, str], optional
            Parameters of the query.
        timeout : float, optional
            Seconds to wait for the reply, where the settings' own don't fit.

        Returns
        -------
        Replied, NotSent or ReplyLost
            What is known of the exchange; faults are returned, never raised.
        """
        sending = _Sending(body)
        try:
            response = await self._client.fetch(
                self._make_request(method, path, sending, query, timeout),
                raise_error=False,
            )
        # Whatever went wrong, the only question is whether the body was sent.
        except Exception as error:
            return _classify_failure(sending, error)
        if response.code == REFUSED_STATUS:
            return NotSent(f"HTTP {response.code}")
        if _is_client_failure(response):
            return _classify_failure(sending, response.error)
        return Replied(response.code, response.body)

    def close(self) -> None:
        """Close the client; requests in flight end as `ReplyLost`."""
        self._client.close()

    def _make_request(
        self,
        method: str,
        path: str,
        sending: "_Sending",
        query: Mapping[str, str] | None,
        timeout: float | None,
    ) -> HTTPRequest:
        url = self._settings.url + urllib.parse.quote(path)
        if query:
            url = f"{url}?{urllib.parse.urlencode(query)}"
        has_body = sending.body is not None
        headers = {"Content-Type": self._settings.content_type}
        if sending.body is not None:
            headers["Content-Length"] = str(len(sending.body))
        return HTTPRequest(
            url,
            method=method,
            headers=headers,
            body_producer=cast(_BodyProducer, sending.produce) if has_body else None,
            connect_timeout=self._settings.connect_timeout,
            request_timeout=timeout or self._settings.request_timeout,
            follow_redirects=False,
        )


class _Sending:
    """Produces the body of one request and records that it was asked for."""

    def __init__(self, body: bytes | None) -> None:
        self.body = body
        self.started = False

    async def produce(self, write: Callable[[bytes], Awaitable[None]]) -> None:
        self.started = True
        if self.body:
            await write(self.body)


def _is_client_failure(response: HTTPResponse) -> bool:
    # Tornado's own code for a request that got no answer.
    return response.code == 599


def _classify_failure(
    sending: _Sending, error: BaseException | None
) -> NotSent | ReplyLost:
    cause = f"{type(error).__name__}: {error}"
    return ReplyLost(cause) if sending.started else NotSent(cause)
