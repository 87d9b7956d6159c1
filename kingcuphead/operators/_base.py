"""Base class of the handlers: authentication, request bodies and responses."""

import hashlib
import hmac
from typing import Any, TypeVar

import msgspec
from expression import Result
from tornado.web import Finish, HTTPError, RequestHandler

from kingcuphead.operators._backends import OperatorBackend
from kingcuphead.operators._messages import (
    STATUSES,
    FaultKind,
    OperatorFault,
    encode_view,
)
from kingcuphead.operators._requests import decode_body

T = TypeVar("T")
S = TypeVar("S", bound=msgspec.Struct)
BEARER_PREFIX = "Bearer "


class OperatorHandler(RequestHandler):
    """Handler that requires an operator's token unless a subclass opts out."""

    #: Whether a request without a valid token is refused with status 401.
    requires_token = True

    def initialize(
        self, backend: OperatorBackend, token_digests: tuple[str, ...]
    ) -> None:
        """Store the backend and the token digests of the application."""
        self.backend = backend
        self._token_digests = token_digests

    def prepare(self) -> None:
        """Refuse a request that has no valid token."""
        if self.requires_token and not self._has_valid_token():
            message = (
                "operator token is missing or invalid (Authorization: Bearer TOKEN)"
            )
            self.refuse(OperatorFault(FaultKind.UNAUTHENTICATED, message))

    def _has_valid_token(self) -> bool:
        header = self.request.headers.get("Authorization", "")
        token = (
            header.removeprefix(BEARER_PREFIX)
            if header.startswith(BEARER_PREFIX)
            else ""
        )
        digest = hashlib.sha256(token.encode()).hexdigest()
        matches = [hmac.compare_digest(digest, each) for each in self._token_digests]
        return any(matches)

    def read_body(self, body_type: type[S]) -> S:
        """Return the decoded body; refuse the request if it is invalid."""
        body: Any = self.unwrap(decode_body(self.request.body, body_type))
        return body  # type: ignore[no-any-return]

    def unwrap(self, result: Result[T, OperatorFault]) -> T:
        """Return the value of a result; refuse the request if it is a fault."""
        match result:
            case Result(tag="ok", ok=value):
                return value
            case Result(error=fault):
                raise self.refuse(fault)

    def refuse(self, fault: OperatorFault) -> Finish:
        """Send a fault as the response and end the request."""
        self.set_status(STATUSES[fault.kind])
        self._write_json({"error": fault})
        self.finish()
        raise Finish

    def respond(self, view: Any, status: int = 200) -> None:
        """Write a view as the JSON body of the response."""
        self.set_status(status)
        self._write_json(view)

    def _write_json(self, view: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(encode_view(view))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an unexpected error in the format of a fault, without its details."""
        kind = FaultKind.NOT_FOUND if status_code == 404 else FaultKind.INVALID
        message = f"HTTP {status_code}: {self._reason}"
        self._write_json({"error": OperatorFault(kind, message)})
        self.finish()


class UnknownPathHandler(OperatorHandler):
    """Responds with status 404 to paths without a route."""

    def prepare(self) -> None:
        """Check the token, then refuse the path."""
        super().prepare()
        raise HTTPError(404)
