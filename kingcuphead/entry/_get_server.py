"""A small HTTP server for one resource, for endpoints that operators and probes read.

`tornado.web` would do the same, but it imports templates, locales and more, which an
entry daemon doesn't use.
"""

import http.client
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from kingcuphead.frozen import frozen


@frozen
class Answer:
    """Answer to a request for the resource."""

    #: HTTP status.
    status: int
    #: Content of the resource.
    body: bytes = b""
    #: Media type of the content.
    content_type: str = "text/html; charset=UTF-8"


def serve_get(
    host: str, port: int, path: str, get_answer: Callable[[], Answer]
) -> HTTPServer:
    """Serve one resource on an address.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on.
    path
        Path of the resource.
    get_answer
        Returns the answer to each GET request.
    """

    def handle_request(request: HTTPServerRequest) -> None:
        _write(request, _choose_answer(request, path, get_answer))

    server = HTTPServer(handle_request)
    server.listen(port, host)
    return server


def _choose_answer(
    request: HTTPServerRequest, path: str, get_answer: Callable[[], Answer]
) -> Answer:
    if request.path != path:
        return Answer(404)
    return get_answer() if request.method == "GET" else Answer(405)


def _write(request: HTTPServerRequest, answer: Answer) -> None:
    connection = request.connection
    if connection is None:
        return
    is_head = request.method == "HEAD"
    headers = HTTPHeaders(
        {
            "Content-Type": answer.content_type,
            "Content-Length": str(len(answer.body)),
        }
    )
    reason = http.client.responses.get(answer.status, "Unknown")
    connection.write_headers(
        ResponseStartLine("", answer.status, reason),
        headers,
        None if is_head else answer.body,
    )
    connection.finish()
