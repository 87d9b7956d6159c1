"""Tells the platform whether this daemon takes callers."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from kingcuphead.platform import READINESS_PATH

Check = Callable[[], bool]


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: Check) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


def serve_readiness(host: str, port: int, is_ready: Check) -> HTTPServer:
    """Answer the platform's question at an address.

    Parameters
    ----------
    host
        IP number to listen on.
    port
        Port to listen on.
    is_ready
        Whether this daemon takes callers now.
    """
    application = Application(
        [(READINESS_PATH, _ReadinessHandler, {"is_ready": is_ready})],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, host)
    return server
