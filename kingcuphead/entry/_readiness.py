"""The endpoint that reports to the platform whether this daemon accepts requests."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from kingcuphead.platform import READINESS_PATH

ReadinessCheck = Callable[[], bool]
CheckRecorder = Callable[[bool], None]


class _ReadinessHandler(RequestHandler):
    def initialize(self, is_ready: ReadinessCheck, record: CheckRecorder) -> None:
        self._is_ready = is_ready
        self._record = record

    def get(self) -> None:
        is_ready = self._is_ready()
        self._record(is_ready)
        self.set_status(200 if is_ready else 503)


def serve_readiness(
    host: str, port: int, is_ready: ReadinessCheck, record: CheckRecorder
) -> HTTPServer:
    """Serve the readiness endpoint on an address.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on.
    is_ready
        Returns whether this daemon is ready for requests of callers.
    record
        Called with the answer to each check.
    """
    arguments = {"is_ready": is_ready, "record": record}
    application = Application(
        [(READINESS_PATH, _ReadinessHandler, arguments)],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    server.listen(port, host)
    return server
