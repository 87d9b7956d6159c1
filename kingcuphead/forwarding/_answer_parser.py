"""Parses the bytes of one answer of a target, in whatever blocks they arrive."""

import enum
import re

from tornado.http1connection import (
    is_transfer_encoding_chunked,
    parse_hex_int,
    parse_int,
)
from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line

from kingcuphead.decoding import check_answer_status
from kingcuphead.frozen import frozen

#: Largest status line and headers of an answer in bytes.
MAX_HEADER_BYTES = 65_536
#: Largest body of an answer in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
#: Largest line with the size of a chunk in bytes, its line end included.
MAX_CHUNK_LINE_BYTES = 64
#: Maximum number of bytes after the end of an answer that are kept; they may begin
#: another answer.
MAX_SURPLUS_BYTES = 262_144
#: Maximum number of informational answers before the final one.
MAX_INTERIM_ANSWERS = 10

_HEAD_END = re.compile(rb"\r?\n\r?\n")
_HEAD_END_BYTES = 4
_LINE_END = b"\r\n"
#: A status line. Within a head it begins the head of another answer, which follows a
#: head that the target left incomplete.
_STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9]{2}\b")
#: Header lines of the usual form, which need no further validation.
_PLAIN_FIELDS = re.compile(r"(?:[A-Za-z0-9-]+: ?[\x21-\x7e][\x20-\x7e]*\r\n)*\r\n")


class AnswerEnd(enum.StrEnum):
    """How the body of an answer ended."""

    #: The body was received completely, by its length or its last chunk.
    COMPLETE = "complete"
    #: The target closed the connection cleanly, which alone marks the end of the body.
    CLOSED = "closed"
    #: The connection broke, or the answer is malformed.
    BROKEN = "broken"


@frozen
class RawHead:
    """Status and headers of an answer as received."""

    #: HTTP status.
    status: int
    #: All headers, hop-by-hop headers included.
    headers: HTTPHeaders


class _Framing(enum.Enum):
    """What marks the end of a body."""

    LENGTH = enum.auto()
    CHUNKS = enum.auto()
    CLOSE = enum.auto()


class AnswerParser:
    """Parses one answer incrementally; does no I/O.

    Parameters
    ----------
    method
        Method of the request; the answer to HEAD has no body.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self._rest = b""
        self._searched_bytes = 0
        self._framing = _Framing.CLOSE
        self._interim_count = 0
        self._body_bytes = 0
        self._remaining = 0
        self._is_line_end_due = False
        self._is_last_chunk = False
        #: Status and headers of the final answer; None until they are received.
        self.head: RawHead | None = None
        #: How the body ended; None until then.
        self.end: AnswerEnd | None = None
        #: Bytes that were received after the end of the answer; None if there were too
        #: many of them to keep.
        self.surplus: bytes | None = b""

    @property
    def has_surplus(self) -> bool:
        """Whether bytes were received after the end of the answer."""
        return self.surplus is None or bool(self.surplus)

    def feed(self, data: bytes) -> list[bytes]:
        """Parse the next bytes of the connection.

        Returns
        -------
        list[bytes]
            The parts of the body that they contain.
        """
        if self._rest:
            data = self._rest + data
            self._rest = b""
        try:
            while self.head is None and self.end is None:
                size = self._find_head_end(data)
                if size is None:
                    self._rest = data
                    return []
                self._searched_bytes = 0
                self._parse_head(data[:size])
                data = data[size:]
            return self._parse_body(data)
        except (HTTPInputError, ValueError):
            self.end = AnswerEnd.BROKEN
            return []

    def close(self, is_clean: bool) -> None:
        """Note the end of the connection.

        Parameters
        ----------
        is_clean
            Whether the target itself closed it, without an error, after it had
            received the request.
        """
        if self.end is not None:
            return
        is_whole = self.head is not None and self._framing is _Framing.CLOSE
        self.end = AnswerEnd.CLOSED if is_whole and is_clean else AnswerEnd.BROKEN

    def _find_head_end(self, data: bytes) -> int | None:
        """Return the size of the next head; None if it is incomplete."""
        start = max(0, self._searched_bytes - _HEAD_END_BYTES)
        match = _HEAD_END.search(data, start, MAX_HEADER_BYTES)
        self._searched_bytes = len(data)
        if match is not None:
            return match.end()
        if len(data) >= MAX_HEADER_BYTES:
            raise HTTPInputError("the head is too large")
        return None

    def _parse_head(self, data: bytes) -> None:
        text = data.decode("latin1").lstrip("\r\n")
        if _STATUS_LINE.search(text, 1):
            raise HTTPInputError("a status line within the head")
        line, _, fields = text.partition("\n")
        start_line = parse_response_start_line(line.rstrip("\r"))
        check_answer_status(start_line.code)
        headers = _parse_fields(fields)
        if start_line.code < 200:
            self._count_interim(headers)
            return
        self.head = RawHead(start_line.code, headers)
        self._choose_framing(start_line.code, headers)

    def _count_interim(self, headers: HTTPHeaders) -> None:
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            raise HTTPInputError("an informational answer can't have a body")
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS:
            raise HTTPInputError("too many informational answers")

    def _choose_framing(self, status: int, headers: HTTPHeaders) -> None:
        if self._method == "HEAD" or status == 304:
            self.end = AnswerEnd.COMPLETE
            return
        length = _parse_length(headers)
        if is_transfer_encoding_chunked(headers):
            self._framing = _Framing.CHUNKS
        elif length is not None:
            self._framing = _Framing.LENGTH
            self._remaining = length
        if status == 204:
            if self._framing is _Framing.CHUNKS or length:
                raise HTTPInputError("an answer with status 204 can't have a body")
            self.end = AnswerEnd.COMPLETE

    def _parse_body(self, data: bytes) -> list[bytes]:
        if self.end is not None:
            self._keep_surplus(data)
            return []
        match self._framing:
            case _Framing.CHUNKS:
                return self._parse_chunks(data)
            case _Framing.LENGTH:
                return self._parse_fixed(data)
            case _Framing.CLOSE:
                self._count_body(len(data))
                return [data] if data and self.end is None else []

    def _parse_fixed(self, data: bytes) -> list[bytes]:
        block = data[: self._remaining]
        self._remaining -= len(block)
        if not self._remaining:
            self._complete(data, len(block))
        return [block] if block else []

    def _parse_chunks(self, data: bytes) -> list[bytes]:
        """Return the contents of the chunks, and keep an incomplete size line."""
        blocks: list[bytes] = []
        position = 0
        while self.end is None and position < len(data):
            if self._remaining:
                block = data[position : position + self._remaining]
                blocks.append(block)
                position += len(block)
                self._remaining -= len(block)
                self._is_line_end_due = not self._remaining
                continue
            size = self._parse_chunk_line(data, position)
            if not size:
                self._rest = data[position:] if self.end is None else b""
                break
            position += size
        return blocks

    def _parse_chunk_line(self, data: bytes, position: int) -> int:
        """Parse the line end after a chunk, or the size of the next one.

        Returns
        -------
        int
            Bytes of it; 0 if it is incomplete or malformed.
        """
        if self._is_line_end_due:
            return self._parse_line_end(data, position)
        end = data.find(_LINE_END, position, position + MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(data) - position >= MAX_CHUNK_LINE_BYTES:
                self.end = AnswerEnd.BROKEN
            return 0
        try:
            self._remaining = parse_hex_int(data[position:end].decode("latin1"))
        except ValueError:
            self.end = AnswerEnd.BROKEN
            return 0
        self._is_last_chunk = self._is_line_end_due = not self._remaining
        self._count_body(self._remaining)
        return end + len(_LINE_END) - position

    def _parse_line_end(self, data: bytes, position: int) -> int:
        mark = data[position : position + len(_LINE_END)]
        if mark != _LINE_END:
            if not _LINE_END.startswith(mark):
                self.end = AnswerEnd.BROKEN
            return 0
        self._is_line_end_due = False
        if self._is_last_chunk:
            self._complete(data, position + len(mark))
        return len(mark)

    def _count_body(self, size: int) -> None:
        self._body_bytes += size
        if self._body_bytes > MAX_BODY_BYTES:
            self.end = AnswerEnd.BROKEN

    def _complete(self, data: bytes, position: int) -> None:
        self.end = AnswerEnd.COMPLETE
        self._keep_surplus(data[position:])

    def _keep_surplus(self, data: bytes) -> None:
        if self.surplus is None or len(self.surplus) + len(data) > MAX_SURPLUS_BYTES:
            self.surplus = None
        else:
            self.surplus += data


def _parse_fields(text: str) -> HTTPHeaders:
    """Parse header lines; those of an unusual form are left to the library."""
    if _PLAIN_FIELDS.fullmatch(text) is None:
        return HTTPHeaders.parse(text)
    headers = HTTPHeaders()
    for line in text[:-4].split("\r\n"):
        name, _, value = line.partition(":")
        if not name:
            continue
        if name in headers:
            headers.add(name, value.strip(" "))
        else:
            headers[name] = value.strip(" ")
    return headers


def _parse_length(headers: HTTPHeaders) -> int | None:
    """Return the length of a body that its header states; None without one."""
    if "Content-Length" not in headers:
        return None
    lengths = {text.strip(" \t") for text in headers["Content-Length"].split(",")}
    if len(lengths) != 1:
        raise HTTPInputError("several lengths")
    length = parse_int(lengths.pop())
    if length > MAX_BODY_BYTES:
        raise HTTPInputError("the body is too large")
    return length
