"""Interfaces that the request forwarder requires."""

from typing import Protocol

from tornado.httputil import HTTPHeaders

from kingcuphead.forwarding._connection import TargetConnection
from kingcuphead.forwarding._memory import MemoryReservation
from kingcuphead.forwarding._messages import AnswerHead, CallerRequest, SendOptions


class HeaderCodec(Protocol):
    """Encodes and decodes the platform's headers."""

    def encode_request(
        self, request: CallerRequest, options: SendOptions
    ) -> HTTPHeaders:
        """Return the request headers of one attempt."""
        ...

    def decode_answer(
        self, status: int, headers: HTTPHeaders, method: str
    ) -> AnswerHead:
        """Return the decoded head of a target's answer.

        Parameters
        ----------
        status
            HTTP status of the answer.
        headers
            Headers as received.
        method
            Method of the request that is answered.
        """
        ...


class TargetConnector(Protocol):
    """Opens connections to targets."""

    @property
    def uses_idle_connections(self) -> bool:
        """Whether connections that are already open may be used."""
        ...

    async def connect(self, address: str, timeout: float) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        OSError
            The connection could not be opened; nothing was sent.
        """
        ...

    async def confirm_refusal(self, address: str, timeout: float) -> bool:
        """Return whether a refused connection proves that the target has ended."""
        ...


class Caller(Protocol):
    """The connection on which a caller receives its answer."""

    @property
    def reservation(self) -> MemoryReservation:
        """Counts the bytes held for the request."""
        ...

    @property
    def is_started(self) -> bool:
        """Whether the status and the headers were set."""
        ...

    @property
    def is_congested(self) -> bool:
        """Whether the caller has to read before more is sent."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Set the status and the headers."""
        ...

    def send(self, chunk: bytes) -> None:
        """Send bytes of the body, and buffer what the connection doesn't take yet."""
        ...

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        ...

    def finish(self) -> None:
        """End the answer as complete."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the caller detects an incomplete answer."""
        ...
