"""Core of the stand-in plain service: orders, counters and faults."""

import hashlib

import msgspec


class Dispatch(msgspec.Struct, frozen=True):
    """One execution of an order; a second one with the same key is a duplicate."""

    #: Sequence number of the execution, from 1.
    number: int
    #: Value of the `Idempotency-Key` header, or an empty string.
    key: str
    #: SHA-256 of the request body, in hexadecimal.
    body_digest: str
    #: Value of the `X-Request-Id` header, or an empty string.
    request_id: str
    #: Value of the `X-Organisation` header, or an empty string.
    organisation: str


class ServiceRecords(msgspec.Struct, frozen=True):
    """Response body of `GET /records`."""

    #: Name of the service.
    name: str
    #: Executed orders, oldest first.
    dispatches: tuple[Dispatch, ...]
    #: Number of executed calls that aren't orders.
    calls: int


class ServiceSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a stand-in plain service that tests switch at run time."""

    #: Delay before a call is executed, in seconds.
    delay: float = 0.0
    #: Refuse every call with HTTP 503 before execution.
    refuse: bool = False
    #: Number of further calls that are executed but get no answer.
    lose_replies: int = 0
    #: Exit the process after the next execution, without an answer.
    exit_after_next: bool = False


class Service:
    """Executes every order that it receives; it does not detect duplicates.

    Parameters
    ----------
    name : str
        Name of the service in its records and answers.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.switches = ServiceSwitches()
        self._dispatches: list[Dispatch] = []
        self._calls = 0

    @property
    def records(self) -> ServiceRecords:
        """Executed orders and the number of other calls."""
        return ServiceRecords(self.name, tuple(self._dispatches), self._calls)

    def place_order(
        self, key: str, body: bytes, request_id: str, organisation: str
    ) -> Dispatch:
        """Execute an order and return its record."""
        digest = hashlib.sha256(body).hexdigest()
        number = len(self._dispatches) + 1
        dispatch = Dispatch(number, key, digest, request_id, organisation)
        self._dispatches.append(dispatch)
        return dispatch

    def record_call(self) -> int:
        """Count a call that isn't an order and return the new count."""
        self._calls += 1
        return self._calls

    def consume_lost_reply(self) -> bool:
        """Return whether to drop this answer, and decrement `lose_replies` if so."""
        remaining = self.switches.lose_replies
        if remaining <= 0:
            return False
        self.switches = msgspec.structs.replace(
            self.switches, lose_replies=remaining - 1
        )
        return True
