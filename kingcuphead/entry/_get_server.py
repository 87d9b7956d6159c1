"""A small HTTP server for one resource, for endpoints that operators and probes read.

`tornado.web` would do the same, but it imports templates, locales and more, which an
entry daemon doesn't use.
"""

import asyncio
import http.client
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
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


#: Returns the answer to a GET request, at once or by a coroutine.
GetAnswer = Callable[[], Answer | Coroutine[Any, Any, Answer]]


def serve_get(host: str, port: int, path: str, get_answer: GetAnswer) -> HTTPServer:
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
        Returns the answer to each GET request, or a coroutine that does.
    """
    tasks: set[asyncio.Task[None]] = set()

    def handle_request(request: HTTPServerRequest) -> None:
        answer = _choose_answer(request, path, get_answer)
        if isinstance(answer, Answer):
            _write(request, answer)
        else:
            task = asyncio.create_task(_write_later(request, answer))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    server = HTTPServer(handle_request)
    server.listen(port, host)
    return server


def _choose_answer(
    request: HTTPServerRequest, path: str, get_answer: GetAnswer
) -> Answer | Coroutine[Any, Any, Answer]:
    if request.path != path:
        return Answer(404)
    return get_answer() if request.method == "GET" else Answer(405)


async def _write_later(
    request: HTTPServerRequest, pending: Coroutine[Any, Any, Answer]
) -> None:
    try:
        answer = await pending
    except Exception:
        logger.exception("cannot answer a request for {}", request.path)
        answer = Answer(500)
    _write(request, answer)


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
