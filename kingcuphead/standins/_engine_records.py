"""Records of a stand-in engine, which tests compare with the bills of the daemons."""

import enum

import msgspec

from kingcuphead.standins._engine_orders import AppliedOrder


class RequestState(enum.StrEnum):
    """State of a request in the engine."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    REFUSED = "refused"


class RequestRecord(msgspec.Struct, frozen=True):
    """One request as the engine received it; each retry has a record of its own."""

    #: Value of the `X-Request-Id` header, or an empty string.
    request_id: str
    #: Value of the `X-Organisation` header, or an empty string.
    organisation: str
    #: Name of the requested model.
    model: str
    #: Digest of the prompt, with which the answer starts.
    prompt_digest: str
    #: Number of tokens in the prompt.
    prompt_tokens: int
    #: Number of prompt tokens found in the prefix cache.
    cached_tokens: int = 0
    #: Number of tokens generated so far.
    tokens: int = 0
    #: Current or final state.
    state: RequestState = RequestState.WAITING


class EngineRecords(msgspec.Struct, frozen=True):
    """Response body of `GET /records`."""

    #: Name of the engine.
    name: str
    #: Requests in the order of arrival.
    requests: tuple[RequestRecord, ...]
    #: Applied orders, oldest first.
    orders: tuple[AppliedOrder, ...]


class RequestLog:
    """Append-only list of request records, with updates in place."""

    def __init__(self) -> None:
        self._records: list[RequestRecord] = []

    @property
    def records(self) -> tuple[RequestRecord, ...]:
        """All records in the order of arrival."""
        return tuple(self._records)

    def append(self, record: RequestRecord) -> int:
        """Append a record and return its index."""
        self._records.append(record)
        return len(self._records) - 1

    def update(self, record_index: int, **changes: object) -> None:
        """Update fields of the record at an index."""
        record = self._records[record_index]
        self._records[record_index] = msgspec.structs.replace(record, **changes)

    def count_token(self, record_index: int) -> None:
        """Increment the number of generated tokens of a record."""
        self.update(record_index, tokens=self._records[record_index].tokens + 1)
