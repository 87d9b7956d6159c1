"""Orders and faults of a stand-in plain service."""

import hashlib

import msgspec


class Dispatch(msgspec.Struct, frozen=True):
    """One execution of an order; two with the same key are a duplicate."""

    #: Number that the service gave to it.
    number: int
    #: Idempotency key of the header, or an empty string.
    key: str
    #: SHA-256 of the body, in hexadecimal.
    body_digest: str
    #: Request id of the header, or an empty string.
    request_id: str
    #: Organisation of the header, or an empty string.
    organisation: str


class ServiceRecords(msgspec.Struct, frozen=True):
    """Everything that `GET /records` shows."""

    #: Name of the service.
    name: str
    #: Orders executed.
    dispatches: tuple[Dispatch, ...]
    #: Other calls served.
    calls: int


class ServiceSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a stand-in plain service."""

    #: Seconds before a call is executed.
    delay: float = 0.0
    #: Refuse everything with HTTP 503 before execution.
    refuse: bool = False
    #: Number of calls to come that are executed and get no answer.
    lose_replies: int = 0
    #: Exit the process after the next execution, without an answer.
    exit_after_next: bool = False


class Service:
    """Executes orders without any check for duplicates.

    Parameters
    ----------
    name : str
        Name of the service.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.switches = ServiceSwitches()
        self._dispatches: list[Dispatch] = []
        self._calls = 0

    @property
    def records(self) -> ServiceRecords:
        """Everything that the service has done."""
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

    def count_call(self) -> int:
        """Note a call that isn't an order and return how many there were."""
        self._calls += 1
        return self._calls

    def take_lost_reply(self) -> bool:
        """Say whether this answer is to be lost, and count it off."""
        left = self.switches.lose_replies
        if left <= 0:
            return False
        self.switches = msgspec.structs.replace(self.switches, lose_replies=left - 1)
        return True
