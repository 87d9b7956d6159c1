"""HTTP client for the processes of a local fleet."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

#: Seconds until a request times out.
REQUEST_TIMEOUT = 60.0
#: Maximum number of concurrent requests.
MAX_CLIENTS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response."""

    #: HTTP status; 599 if the connection failed or the request timed out.
    status: int
    #: Response headers; empty if the connection failed.
    headers: Mapping[str, str]
    #: Response body, or the text of the error if the connection failed.
    body: bytes

    def decode(self) -> Any:
        """Decode the body as JSON."""
        return msgspec.json.decode(self.body)


class LocalClient:
    """HTTP client that reports failed requests as status 599 and never raises."""

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
        body_callback: Callable[[bytes], None] | None = None,
    ) -> Reply:
        """Send a request.

        Parameters
        ----------
        method, url, headers, body
            HTTP method, URL, headers and body of the request; no body if None.
        body_callback
            Receives each part of the response body on arrival; the body of the reply
            is then empty.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers=dict(headers),
            body=body,
            request_timeout=REQUEST_TIMEOUT,
            streaming_callback=body_callback,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as error:
            # tornado raises exceptions of many types for a failed connection.
            return Reply(599, {}, str(error).encode())
        return Reply(response.code, response.headers, response.body or b"")

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
