"""HTTP requests to the processes of a local fleet."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

#: Seconds that a request may take.
REQUEST_TIMEOUT = 60.0
#: Most requests at once.
MAX_CLIENTS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer."""

    #: Status; 599 if the connection broke.
    status: int
    #: Headers.
    headers: Mapping[str, str]
    #: Body.
    body: bytes

    def decode(self) -> Any:
        """Return the body's JSON."""
        return msgspec.json.decode(self.body)


class LocalClient:
    """Sends requests; never raises for a failed one."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def get(self, url: str, headers: Mapping[str, str] | None = None) -> Reply:
        """Send a GET request."""
        return await self.request("GET", url, headers or {}, None)

    async def post(
        self, url: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> Reply:
        """Send a POST request."""
        return await self.request("POST", url, headers or {}, body)

    async def request(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes | None,
        take: Callable[[bytes], None] | None = None,
    ) -> Reply:
        """Send any request.

        Parameters
        ----------
        method, url, headers, body
            The request.
        take
            Receives the body in parts as they come; the reply's body is empty then.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers=dict(headers),
            body=body,
            request_timeout=REQUEST_TIMEOUT,
            streaming_callback=take,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as error:
            # The client raises many types for a connection that breaks.
            return Reply(599, {}, str(error).encode())
        return Reply(response.code, response.headers, response.body or b"")

    def close(self) -> None:
        """Close every connection."""
        self._client.close()
