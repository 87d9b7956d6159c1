import dataclasses

import pytest
from hypothesis import given, settings, strategies as st

from kingcuphead.forwarding._answer_parser import (
    MAX_BODY_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_HEADER_BYTES,
    MAX_INTERIM_ANSWERS,
    AnswerEnd,
    AnswerParser,
)
from kingcuphead.forwarding._events import EventSplitter
from kingcuphead.forwarding._target_stream import READ_BYTES

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
WHOLE = AnswerEnd.COMPLETE
CLOSED = AnswerEnd.CLOSED
BROKEN = AnswerEnd.BROKEN


@dataclasses.dataclass(frozen=True)
class Case:
    """Bytes of a connection up to its clean end, and what they mean."""

    name: str
    data: bytes
    end: AnswerEnd
    body: bytes = b""
    has_surplus: bool = False
    status: int | None = 200
    method: str = "POST"


#: What may follow the head of an answer with an odd status.
FOLLOWING = (
    (" alone", b""),
    (" and text", b"text"),
    (" and a sound answer", OK + b"Content-Length: 2\r\n\r\nhi"),
)
CASES = (
    Case("length", OK + b"Content-Length: 5\r\n\r\nhello", WHOLE, b"hello"),
    Case("no body", OK + b"Content-Length: 0\r\n\r\n", WHOLE),
    Case("equal lengths", OK + b"Content-Length: 2, 2\r\n\r\nhi", WHOLE, b"hi"),
    Case("surplus", OK + b"Content-Length: 1\r\n\r\nhi", WHOLE, b"h", True),
    Case("chunks", CHUNKED + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", WHOLE, b"hello"),
    Case("hex size", CHUNKED + b"0A\r\n0123456789\r\n0\r\n\r\n", WHOLE, b"0123456789"),
    Case("no chunk", CHUNKED + b"0\r\n\r\n", WHOLE),
    Case("chunk surplus", CHUNKED + b"0\r\n\r\nHTTP/1.1", WHOLE, b"", True),
    Case(
        "line ends in a chunk",
        CHUNKED + b"4\r\n\r\n\r\n\r\n0\r\n\r\n",
        WHOLE,
        b"\r\n\r\n",
    ),
    Case(
        "status line in a header",
        b"HTTP/1.1 503 Busy\r\nA: b" + OK + b"Content-Length: 0\r\n\r\n",
        BROKEN,
        status=None,
    ),
    Case(
        "status line in a status line",
        b"HTTP/1.1 421 A" + OK + b"Content-Length: 0\r\n\r\n",
        BROKEN,
        status=None,
    ),
    Case("until close", OK + b"\r\nhello", CLOSED, b"hello"),
    Case("bare line feeds", b"HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", WHOLE, b"hi"),
    Case(
        "leading line end", b"\r\n" + OK + b"Content-Length: 2\r\n\r\nhi", WHOLE, b"hi"
    ),
    Case("interim", INTERIM * 2 + OK + b"Content-Length: 2\r\n\r\nhi", WHOLE, b"hi"),
    Case("HEAD", OK + b"Content-Length: 9\r\n\r\n", WHOLE, method="HEAD"),
    Case(
        "HEAD body", OK + b"Content-Length: 1\r\n\r\nx", WHOLE, b"", True, method="HEAD"
    ),
    Case("204", b"HTTP/1.1 204 No Content\r\n\r\n", WHOLE, status=204),
    Case(
        "304",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        WHOLE,
        status=304,
    ),
    Case(
        "204 body",
        b"HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\nx",
        BROKEN,
        status=204,
    ),
    Case("short", OK + b"Content-Length: 9\r\n\r\nhello", BROKEN, b"hello"),
    Case("no last chunk", CHUNKED + b"2\r\nhe\r\n", BROKEN, b"he"),
    Case("no last line end", CHUNKED + b"2\r\nhe\r\n0\r\n", BROKEN, b"he"),
    Case("trailer", CHUNKED + b"0\r\nA: b\r\n\r\n", BROKEN),
    Case("bad size", CHUNKED + b"2\r\nhe\r\nxyz\r\n", BROKEN, b"he"),
    Case("signed size", CHUNKED + b"+2\r\nhe\r\n0\r\n\r\n", BROKEN),
    Case("extension", CHUNKED + b"2;a=b\r\nhe\r\n0\r\n\r\n", BROKEN),
    Case("long chunk", CHUNKED + b"2\r\nhello\r\n0\r\n\r\n", BROKEN, b"he"),
    Case("endless size", CHUNKED + b"0" * MAX_CHUNK_LINE_BYTES + b"\r\n", BROKEN),
    Case("huge chunk", CHUNKED + b"%x\r\n" % (MAX_BODY_BYTES + 1), BROKEN),
    Case(
        "huge length", OK + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), BROKEN
    ),
    Case("signed length", OK + b"Content-Length: +5\r\n\r\nhello", BROKEN),
    Case("other lengths", OK + b"Content-Length: 1, 2\r\n\r\nhi", BROKEN),
    Case("two framings", CHUNKED[:-2] + b"Content-Length: 5\r\n\r\n0\r\n\r\n", BROKEN),
    Case("other coding", OK + b"Transfer-Encoding: gzip\r\n\r\nx", BROKEN),
    Case("nothing", b"", BROKEN, status=None),
    Case("half a head", OK, BROKEN, status=None),
    Case("no status", b"hello\r\n\r\n", BROKEN, status=None),
    Case("other version", b"HTTP/2.0 200 OK\r\n\r\n", BROKEN, status=None),
    Case("no colon", b"HTTP/1.1 200 OK\r\nAttempt\r\n\r\n", BROKEN, status=None),
    Case("folded", OK + b" more\r\n\r\n", BROKEN, status=None),
    Case("control", b"HTTP/1.1 200 OK\r\nA: b\0c\r\n\r\n", BROKEN, status=None),
    Case(
        "interim body",
        b"HTTP/1.1 100 Go\r\nContent-Length: 1\r\n\r\nx",
        BROKEN,
        status=None,
    ),
    *(
        Case(
            f"status {status}{followed_by[0]}",
            head + followed_by[1],
            BROKEN,
            status=None,
        )
        for status in ("000", "00", "42", "099", "0200", "1000", "2oo", "-20", "+200")
        + ("600", "999", "101")
        for head in (b"HTTP/1.1 %b X\r\n\r\n" % status.encode(),)
        for followed_by in FOLLOWING
    ),
    Case("interim only", INTERIM * (MAX_INTERIM_ANSWERS + 1), BROKEN, status=None),
)


def parse(case, blocks):
    """Return the parser after blocks and a clean end, and the body it returned."""
    parser = AnswerParser(case.method)
    body = b"".join(part for block in blocks for part in parser.feed(block))
    parser.close(is_clean=True)
    return parser, body


def check(case, blocks):
    parser, body = parse(case, blocks)
    status = None if parser.head is None else parser.head.status
    found = (parser.end, body, parser.has_surplus and parser.end is WHOLE, status)
    assert found == (case.end, case.body, case.has_surplus, case.status)


class TestAnswerParser:
    @pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
    def test_bytes_mean_the_same_wherever_they_are_split(self, case):
        """Guards against a state that depends on how the bytes were received."""
        check(case, [case.data])
        check(case, [case.data[at : at + 1] for at in range(len(case.data))])
        for at in range(len(case.data)):
            check(case, [case.data[:at], case.data[at:]])

    @given(st.sampled_from(CASES), st.lists(st.integers(0, 120), max_size=6))
    def test_nor_does_it_depend_on_several_splits(self, case, places):
        places = sorted({0, *places, len(case.data)})
        check(case, [case.data[a:b] for a, b in zip(places, places[1:], strict=False)])

    @settings(max_examples=200)
    @given(st.binary(max_size=60), st.integers(0, 60))
    def test_chunks_of_any_bytes_are_parsed_alike(self, noise, at):
        """Malformed chunks must not be accepted in one split and refused in another."""
        case = Case("noise", CHUNKED + b"2\r\nhe\r\n" + noise, BROKEN)
        whole, body = parse(case, [case.data])
        at += len(CHUNKED)
        split, split_body = parse(case, [case.data[:at], case.data[at:]])
        assert (split.end, split_body) == (whole.end, body)

    @pytest.mark.parametrize(("size", "is_head"), [(0, True), (1, False)])
    def test_a_head_has_a_bound(self, size, is_head):
        start, end = b"HTTP/1.1 200 OK\r\nA: ", b"\r\n\r\n"
        filler = b"x" * (MAX_HEADER_BYTES - len(start) - len(end) + size)
        data = start + filler + end
        for step in (len(data), 1_000):
            blocks = [data[at : at + step] for at in range(0, len(data), step)]
            parser, _ = parse(Case("", data, BROKEN), blocks)
            assert (parser.head is not None) is is_head

    def test_a_body_until_close_has_a_bound(self):
        parser = AnswerParser("POST")
        parser.feed(OK + b"\r\n")
        for _ in range(MAX_BODY_BYTES // READ_BYTES):
            parser.feed(bytes(READ_BYTES))
        assert parser.end is None
        parser.feed(b"x")
        assert parser.end is BROKEN

    @pytest.mark.parametrize("data", [OK + b"\r\nhello", OK])
    def test_a_connection_that_broke_is_no_end(self, data):
        """A reset is no end of an answer without a length."""
        parser = AnswerParser("POST")
        parser.feed(data)
        parser.close(is_clean=False)
        assert parser.end is BROKEN

    def test_values_of_one_header_are_kept_in_order(self):
        parser = AnswerParser("POST")
        parser.feed(OK + b"Via: a\r\nVIA:  b \r\nX: \xe9\r\n\r\n")
        assert parser.head is not None
        assert parser.head.headers.get_list("Via") == ["a", "b"]
        assert parser.head.headers["X"] == "\xe9"


class TestEventSplits:
    EVENTS = (
        b"id: 1\ndata: a\n\n",
        b"data: id: 9\r\nid:2\r\n\r\n",
        b"id: x\nid: 3 \n\n",
        b"idx: 4\ndata\n\n",
        b": id: 5\n\n",
    )
    IDS = (1, 2, 3, None, None)

    @given(st.lists(st.integers(0, 90), max_size=8))
    def test_events_are_the_same_wherever_they_are_split(self, places):
        """Guards against an end of an event that is missed between two blocks."""
        data = b"".join(self.EVENTS)
        places = sorted({0, *places, len(data)})
        splitter = EventSplitter()
        events = [
            event
            for a, b in zip(places, places[1:], strict=False)
            for event in splitter.feed(data[a:b])
        ]
        assert tuple(event.content for event in events) == self.EVENTS
        assert tuple(event.event_id for event in events) == self.IDS
        assert not splitter.has_partial_event
