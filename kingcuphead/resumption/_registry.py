"""The streams that began lately, as far as one daemon knows."""

from collections import OrderedDict

from kingcuphead.frozen import frozen
from kingcuphead.resumption._messages import BegunStream

#: Seconds for which a caller may resume a stream after it began.
STREAM_LIFETIME = 60.0
#: Streams that are remembered; the oldest is evicted first.
MAX_STREAMS = 20_000


@frozen
class _Record:
    stream: BegunStream
    expires_at: float


class StreamRegistry:
    """Remembers streams for `STREAM_LIFETIME`; does no I/O."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def record(self, stream: BegunStream, now: float) -> None:
        """Remember a stream; the first record of an id holds."""
        if stream.request_id in self._records:
            return
        self._records[stream.request_id] = _Record(stream, now + STREAM_LIFETIME)
        if len(self._records) > MAX_STREAMS:
            self._records.popitem(last=False)

    def find(self, request_id: str) -> BegunStream | None:
        """Return the stream that a try began, or None if it is unknown."""
        record = self._records.get(request_id)
        return None if record is None else record.stream

    def expire(self, now: float) -> None:
        """Forget the streams whose lifetime has ended."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.expires_at > now:
                return
            self._records.popitem(last=False)
