"""Tornado application of the operators' API, which has a port of its own."""

from typing import Any

from tornado.web import Application

from kingcuphead.operators import _handlers
from kingcuphead.operators._backends import OperatorBackend
from kingcuphead.operators._base import OperatorHandler, UnknownPathHandler

#: One segment of a path: a name, a kind or a fingerprint.
SEGMENT_PATTERN = r"([A-Za-z0-9._:~-]+)"

ROUTES: tuple[tuple[str, type[OperatorHandler]], ...] = (
    (rf"/records/{SEGMENT_PATTERN}", _handlers.RecordListHandler),
    (rf"/records/{SEGMENT_PATTERN}/{SEGMENT_PATTERN}", _handlers.RecordHandler),
    (r"/changes", _handlers.ChangesHandler),
    (r"/revision", _handlers.RevisionHandler),
    (r"/budgets", _handlers.BudgetListHandler),
    (rf"/budgets/{SEGMENT_PATTERN}", _handlers.BudgetHandler),
    (rf"/budgets/{SEGMENT_PATTERN}/limit", _handlers.BudgetLimitHandler),
    (rf"/budgets/{SEGMENT_PATTERN}/top-ups", _handlers.TopUpHandler),
    (
        rf"/budgets/{SEGMENT_PATTERN}/grants/([^/]+)/release",
        _handlers.GrantReleaseHandler,
    ),
    (r"/quarantine", _handlers.QuarantineListHandler),
    (rf"/quarantine/{SEGMENT_PATTERN}", _handlers.QuarantineHandler),
    (r"/targets", _handlers.TargetsHandler),
    (r"/explain/([^/]+)", _handlers.ExplanationHandler),
    (rf"/claims/{SEGMENT_PATTERN}", _handlers.ClaimsHandler),
    (r"/metrics", _handlers.MetricsHandler),
    (r"/healthz", _handlers.HealthHandler),
    (r"/readyz", _handlers.ReadyHandler),
)


def make_operator_application(
    backend: OperatorBackend, token_digests: tuple[str, ...]
) -> Application:
    """Return the tornado application that serves the operators' API.

    Parameters
    ----------
    backend : OperatorBackend
        Data and commands that the API exposes.
    token_digests : tuple of str
        SHA-256 digests of the operators' tokens, in hexadecimal. A request is
        authenticated if its token matches any of them.
    """
    handler_arguments: dict[str, Any] = {
        "backend": backend,
        "token_digests": token_digests,
    }
    return Application(
        [(path, handler, handler_arguments) for path, handler in ROUTES],
        default_handler_class=UnknownPathHandler,
        default_handler_args=handler_arguments,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: Any) -> None:
    """Suppress tornado's access log, which would contain request arguments."""
