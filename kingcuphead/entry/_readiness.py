"""The endpoint that reports to the platform whether this daemon accepts requests."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer

from kingcuphead.entry._get_server import Answer, serve_get
from kingcuphead.platform import READINESS_PATH

#: Returns whether the daemon is ready.
ReadinessCheck = Callable[[], bool]
#: Receives whether the answer to a check was that the daemon is ready.
CheckRecorder = Callable[[bool], None]


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

    def answer_check() -> Answer:
        is_accepting = is_ready()
        record(is_accepting)
        return Answer(200 if is_accepting else 503)

    return serve_get(host, port, READINESS_PATH, answer_check)
