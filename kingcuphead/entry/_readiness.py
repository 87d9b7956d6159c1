"""The endpoint that reports to the platform whether this daemon accepts requests."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from kingcuphead.platform import READINESS_PATH

ReadinessCheck = Callable[[], bool]


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: ReadinessCheck) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


def serve_readiness(host: str, port: int, is_ready: ReadinessCheck) -> HTTPServer:
    """Serve the readiness endpoint on an address.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on.
    is_ready
        Returns whether this daemon is ready for requests of callers.
    """
    application = Application(
        [(READINESS_PATH, _ReadinessHandler, {"is_ready": is_ready})],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, host)
    return server
