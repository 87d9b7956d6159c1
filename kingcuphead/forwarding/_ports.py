"""What the request path needs from others."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from kingcuphead.forwarding._messages import AnswerHead, CallerRequest, SendOptions


class HeaderCodec(Protocol):
    """Knows the names and formats of the headers."""

    def encode_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HTTPHeaders:
        """Return the headers of one attempt."""
        ...

    def decode_answer(
        self, status: int, headers: HTTPHeaders, method: str
    ) -> AnswerHead:
        """Return what the head of a target's answer says."""
        ...


class Caller(Protocol):
    """The connection to a caller, from the answer's point of view."""

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the answer."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""
        ...

    def finish(self) -> None:
        """End the answer as complete."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the answer is visibly incomplete."""
        ...
