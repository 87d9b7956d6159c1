"""HTTP exchanges with the platform that report whether the body was sent."""

import dataclasses
import socket
import urllib.parse
from asyncio import Future
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeAlias, cast

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.netutil import DefaultLoopResolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from kingcuphead.frozen import frozen
from kingcuphead.storage.wire import REFUSED_STATUS

#: Maximum size of a reply body in bytes.
MAX_REPLY_BYTES = 64 * 1024 * 1024


@frozen
class PlatformSettings:
    """Address, timeouts and limits of a connection to the platform."""

    #: Base URL of the platform's HTTP interface, without a path.
    url: str
    #: Connect timeout in seconds; it includes waiting in the client's queue.
    connect_timeout: float = 1.0
    #: Timeout of a request in seconds, until its reply.
    request_timeout: float = 3.0
    #: Maximum number of concurrent requests.
    max_connections: int = 64
    #: Media type of the request bodies.
    content_type: str = "application/octet-stream"

    def with_changes(self, **changes: object) -> "PlatformSettings":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@frozen
class Replied:
    """The platform replied."""

    #: HTTP status code.
    status: int
    #: Body of the reply.
    body: bytes
    #: Headers of the reply.
    headers: HTTPHeaders = dataclasses.field(default_factory=HTTPHeaders)


@frozen
class NotSent:
    """The request certainly had no effect.

    The request was refused, its body was not sent, or it is a read without a body
    and received no reply.
    """

    #: Cause, in English.
    cause: str


@frozen
class ReplyLost:
    """The request was sent and no reply arrived; it may have had an effect."""

    #: Cause, in English.
    cause: str


Exchange: TypeAlias = Replied | NotSent | ReplyLost

#: Body producer as tornado annotates it; tornado also accepts a coroutine.
_BodyProducer: TypeAlias = Callable[[Callable[[bytes], None]], Future[None]]


class PlatformConnection:
    """Sends requests to the platform; shared by the clients of its services.

    Parameters
    ----------
    settings : PlatformSettings
        Address, timeouts and the maximum number of concurrent requests.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            resolver=LiteralResolver(),
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
        """Send a request and wait for the reply.

        The HTTP client pulls the body on demand. If it never requested the body, no
        byte of it left this process, so the platform cannot have executed the
        request. Requests without a body only read, so they never have an effect.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the URL, without percent-encoding.
        body : bytes, optional
            Body of the request; None for a request without one.
        query : Mapping[str, str], optional
            Query parameters.
        timeout : float, optional
            Request timeout in seconds; the settings' timeout by default.

        Returns
        -------
        Replied, NotSent or ReplyLost
            Result of the exchange; faults are returned, never raised.
        """
        sending = _Sending(body)
        try:
            response = await self._client.fetch(
                self._make_request(method, path, sending, query, timeout),
                raise_error=False,
            )
        # Every error is classified only by whether the body was sent.
        except Exception as error:
            return _classify_failure(sending, error)
        if response.code == REFUSED_STATUS:
            return NotSent(f"HTTP {response.code}")
        if _is_client_failure(response):
            return _classify_failure(sending, response.error)
        return Replied(response.code, response.body, response.headers)

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


class LiteralResolver(DefaultLoopResolver):
    """Resolves IP addresses at once; the default one starts a thread for them too."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        try:
            found = socket.getaddrinfo(
                host, port, family, socket.SOCK_STREAM, 0, socket.AI_NUMERICHOST
            )
        except socket.gaierror:
            return await super().resolve(host, port, family)
        return [(found_family, address) for found_family, _, _, _, address in found]


class _Sending:
    """Body producer of one request; records whether the client requested the body."""

    def __init__(self, body: bytes | None) -> None:
        self.body = body
        self.started = False

    async def produce(self, write: Callable[[bytes], Awaitable[None]]) -> None:
        self.started = True
        if self.body:
            await write(self.body)


def _is_client_failure(response: HTTPResponse) -> bool:
    # Tornado sets 599 if it received no HTTP response.
    return response.code == 599


def _classify_failure(
    sending: _Sending, error: BaseException | None
) -> NotSent | ReplyLost:
    cause = f"{type(error).__name__}: {error}"
    return ReplyLost(cause) if sending.started else NotSent(cause)
