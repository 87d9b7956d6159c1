"""The operators' API as a tornado application on a port of its own."""

from typing import Any

from tornado.web import Application

from kingcuphead.operators import _handlers
from kingcuphead.operators._backends import OperatorBackend
from kingcuphead.operators._base import OperatorHandler, UnknownPathHandler

SEGMENT = r"([A-Za-z0-9._:~-]+)"

ROUTES: tuple[tuple[str, type[OperatorHandler]], ...] = (
    (rf"/records/{SEGMENT}", _handlers.RecordListHandler),
    (rf"/records/{SEGMENT}/{SEGMENT}", _handlers.RecordHandler),
    (r"/changes", _handlers.ChangesHandler),
    (r"/revision", _handlers.RevisionHandler),
    (r"/budgets", _handlers.BudgetListHandler),
    (rf"/budgets/{SEGMENT}", _handlers.BudgetHandler),
    (rf"/budgets/{SEGMENT}/limit", _handlers.BudgetLimitHandler),
    (rf"/budgets/{SEGMENT}/top-ups", _handlers.TopUpHandler),
    (rf"/budgets/{SEGMENT}/grants/([^/]+)/release", _handlers.GrantReleaseHandler),
    (r"/quarantine", _handlers.QuarantineListHandler),
    (rf"/quarantine/{SEGMENT}", _handlers.QuarantineHandler),
    (r"/targets", _handlers.TargetsHandler),
    (r"/explain/([^/]+)", _handlers.ExplanationHandler),
    (rf"/claims/{SEGMENT}", _handlers.ClaimsHandler),
    (r"/metrics", _handlers.MetricsHandler),
    (r"/healthz", _handlers.HealthHandler),
    (r"/readyz", _handlers.ReadyHandler),
)


def make_operator_application(
    backend: OperatorBackend, token_digests: tuple[str, ...]
) -> Application:
    """Return the application.

    Parameters
    ----------
    backend : OperatorBackend
        What it shows and changes.
    token_digests : tuple of str
        SHA-256 digests of the operators' tokens, in hexadecimal.
    """
    shared: dict[str, Any] = {"backend": backend, "token_digests": token_digests}
    return Application(
        [(path, handler, shared) for path, handler in ROUTES],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: Any) -> None:
    """Leave out tornado's own line, which would hold request arguments."""
