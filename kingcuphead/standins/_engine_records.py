"""What a stand-in engine has seen, for tests to compare with the daemons' books."""

import enum

import msgspec

from kingcuphead.standins._engine_orders import AppliedOrder


class RequestState(enum.StrEnum):
    """What became of a request."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    REFUSED = "refused"


class RequestRecord(msgspec.Struct, frozen=True):
    """One request as the engine received it; a retry makes another record."""

    #: Request id of the header, or an empty string.
    request_id: str
    #: Organisation of the header, or an empty string.
    organisation: str
    #: Model asked for.
    model: str
    #: Digest that the answer starts with.
    prompt_digest: str
    #: Tokens of the prompt.
    prompt_tokens: int
    #: Tokens of the prompt that the prefix cache held.
    cached_tokens: int = 0
    #: Tokens generated so far.
    tokens: int = 0
    #: What became of it.
    state: RequestState = RequestState.WAITING


class EngineRecords(msgspec.Struct, frozen=True):
    """Everything that `GET /records` shows."""

    #: Name of the engine.
    name: str
    #: Requests in order of arrival.
    requests: tuple[RequestRecord, ...]
    #: Orders that took effect, in order.
    orders: tuple[AppliedOrder, ...]


class RequestLog:
    """Requests in order of arrival."""

    def __init__(self) -> None:
        self._records: list[RequestRecord] = []

    @property
    def records(self) -> tuple[RequestRecord, ...]:
        """Every record."""
        return tuple(self._records)

    def open(self, record: RequestRecord) -> int:
        """Add a record and return its number."""
        self._records.append(record)
        return len(self._records) - 1

    def change(self, number: int, **changes: object) -> None:
        """Replace fields of a record."""
        old = self._records[number]
        self._records[number] = msgspec.structs.replace(old, **changes)

    def count_token(self, number: int) -> None:
        """Note one more token of a request."""
        self.change(number, tokens=self._records[number].tokens + 1)
