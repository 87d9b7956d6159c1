"""Base of the handlers: the operator's token, bodies and answers."""

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
BEARER = "Bearer "


class OperatorHandler(RequestHandler):
    """Handler that only a holder of an operator's token reaches."""

    #: Whether a token is needed.
    guarded = True

    def initialize(
        self, backend: OperatorBackend, token_digests: tuple[str, ...]
    ) -> None:
        """Take what the application was built with."""
        self.backend = backend
        self._token_digests = token_digests

    def prepare(self) -> None:
        """Refuse a request without a token that is known."""
        if self.guarded and not self._is_authentic():
            message = "an operator's token is needed: Authorization: Bearer TOKEN"
            self.refuse(OperatorFault(FaultKind.UNAUTHENTICATED, message))

    def _is_authentic(self) -> bool:
        header = self.request.headers.get("Authorization", "")
        token = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
        digest = hashlib.sha256(token.encode()).hexdigest()
        matches = [hmac.compare_digest(digest, each) for each in self._token_digests]
        return any(matches)

    def read_body(self, form: type[S]) -> S:
        """Return the decoded body, or refuse the request."""
        body: Any = self.unwrap(decode_body(self.request.body, form))
        return body  # type: ignore[no-any-return]

    def unwrap(self, result: Result[T, OperatorFault]) -> T:
        """Return the value of a result, or refuse the request."""
        match result:
            case Result(tag="ok", ok=value):
                return value
            case Result(error=fault):
                raise self.refuse(fault)

    def refuse(self, fault: OperatorFault) -> Finish:
        """Answer with a fault and end the request."""
        self.set_status(STATUSES[fault.kind])
        self._write_json({"error": fault})
        self.finish()
        raise Finish

    def answer(self, view: Any, status: int = 200) -> None:
        """Answer with something to read."""
        self.set_status(status)
        self._write_json(view)

    def _write_json(self, view: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(encode_view(view))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an unforeseen fault in the same shape, without its details."""
        kind = FaultKind.NOT_FOUND if status_code == 404 else FaultKind.INVALID
        message = f"HTTP {status_code}: {self._reason}"
        self._write_json({"error": OperatorFault(kind, message)})
        self.finish()


class UnknownPathHandler(OperatorHandler):
    """Answers paths that lead nowhere."""

    def prepare(self) -> None:
        """Refuse the path after the token was checked."""
        super().prepare()
        raise HTTPError(404)
