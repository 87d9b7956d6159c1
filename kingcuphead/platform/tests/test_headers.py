import dataclasses

import pytest
from loguru import logger
from tornado.httputil import HTTPHeaders, RequestStartLine

from kingcuphead.forwarding import (
    MAX_TOKENS,
    PromptPart,
    PromptSize,
    SendOptions,
)
from kingcuphead.permits import TargetTerms
from kingcuphead.platform import (
    PlatformHeaders,
    decode_request,
    make_refusal_headers,
)

START = RequestStartLine("POST", "/a/b?c=1", "HTTP/1.1")
OPTIONS = SendOptions("i-1", "atelier", 1.5, 3, 12)


def decode(**headers):
    lines = {"Attempt-Id": "r1", "Host": "h"}
    lines.update({name.replace("_", "-"): value for name, value in headers.items()})
    return decode_request(START, HTTPHeaders(lines), b"body", 7.0)


class TestDecodeRequest:
    @pytest.mark.parametrize(
        "headers",
        [
            {"Token_Counts": "-1,80"},
            {"Token_Counts": "10,-80"},
            {"Token_Counts": "10,80", "Prompt_Prefix": "5c:-1"},
        ],
    )
    def test_a_negative_count_is_rejected(self, headers):
        """A hold of fewer tokens than none would add to a budget."""
        assert decode(**headers).is_error()

    def test_token_counts_and_prompt_prefix(self):
        request = decode(
            Token_Counts="1460,80", Prompt_Prefix="5c:800,91:410", Deadline_Ms="1500"
        ).ok
        parts = (PromptPart("5c", 800), PromptPart("91", 410))
        assert request.size == PromptSize(1460, 80, parts)
        assert request.timeout == 1.5
        assert (request.uri, request.path) == ("/a/b?c=1", "/a/b")

    @pytest.mark.parametrize(
        ("headers", "resumed"), [({}, ""), ({"Resumes": "r0"}, "r0")]
    )
    def test_a_resumed_stream_names_the_try_that_began_it(self, headers, resumed):
        request = decode(Last_Event_Id="4", **headers).ok
        assert request.resumed_id == resumed
        sent = PlatformHeaders().encode_request(request, OPTIONS)
        assert sent.get("Resumes", "") == resumed

    @pytest.mark.parametrize(
        "headers",
        [
            {"Attempt_Id": ""},
            {"Deadline_Ms": "soon"},
            {"Deadline_Ms": "nan"},
            {"Deadline_Ms": "-5"},
            {"Token_Counts": "many"},
            {"Prompt_Prefix": "5c:x", "Token_Counts": "1,1"},
            {"Last_Event_Id": "x"},
            {"Last_Event_Id": "-5"},
            {"Last_Event_Id": str(2**53 + 1)},
            {"Last_Event_Id": "9" * 5_000},
            {"Token_Counts": "1_0,80"},
            {"Token_Counts": "10"},
            {"Deadline_Ms": "1_0"},
        ],
    )
    def test_invalid_headers_are_an_error(self, headers):
        assert decode(**headers).is_error()

    @pytest.mark.parametrize("number", [str(2**64 - 1), str(2**31), "9" * 5_000])
    def test_token_counts_beyond_the_range_exceed_all_targets(self, number):
        """Guards against counts that no message between daemons can carry."""
        for counts in (f"{number},80", f"100,{number}"):
            size = decode(Token_Counts=counts).ok.size
            assert size.exceeds_all_targets
            assert max(size.prompt_tokens, size.output_tokens) == MAX_TOKENS

    @pytest.mark.parametrize(
        ("prefix", "lengths"),
        [
            ("5c:60,e4:40", [60, 40]),
            ("5c:60,91:60,e4:5", [60, 40, 0]),
            (f"5c:{2**64},e4:1", [100, 0]),
        ],
    )
    def test_parts_are_at_most_as_long_as_their_prompt(self, prefix, lengths):
        """Guards against a negative number of tokens that are still to be read."""
        size = decode(Token_Counts="100,80", Prompt_Prefix=prefix).ok.size
        assert [part.tokens for part in size.parts] == lengths


class TestEncodeRequest:
    def test_kv_fetch_names_the_source_target(self):
        request = decode(Kv_Fetch="10.9.9.9:1").ok
        plain = PlatformHeaders().encode_request(request, OPTIONS)
        assert "Kv-Fetch" not in plain
        options = dataclasses.replace(OPTIONS, copy_from="10.0.0.7:8700")
        headers = PlatformHeaders().encode_request(request, options)
        assert headers.get_list("Kv-Fetch") == ["10.0.0.7:8700"]

    @pytest.mark.parametrize(
        "name",
        [
            "Hold",
            "Pin-Ms",
            "Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "Wait-Ms",
            "Expect-Version",
            "Api-Key",
            "Connection",
            "Keep-Alive",
            "TE",
            "Upgrade",
        ],
    )
    def test_reserved_and_hop_by_hop_headers_are_dropped(self, name):
        request = decode(**{name: "forged"}).ok
        sent = PlatformHeaders().encode_request(request, OPTIONS)
        assert "forged" not in [value for _, value in sent.get_all()]

    def test_fleet_headers_replace_those_of_the_caller(self):
        request = decode(
            Tenant="forged",
            Request_Priority="0",
            Expect_Instance="x",
            Token_Counts="1,1",
        ).ok
        sent = PlatformHeaders().encode_request(request, OPTIONS)
        assert sent.get_list("Tenant") == ["atelier"]
        assert sent.get_list("Expect-Instance") == ["i-1"]
        assert sent.get_list("Request-Priority") == ["3"]
        assert sent["Deadline-Ms"] == "1500"
        assert sent["Last-Event-Id"] == "12"

    def test_headers_named_by_the_connection_header_are_dropped(self):
        request = decode(Connection="close, X-Hop, Model", X_Hop="1", Model="m").ok
        sent = PlatformHeaders().encode_request(request, OPTIONS)
        assert "X-Hop" not in sent
        assert sent["Model"] == "m"


class TestDecodeAnswer:
    @pytest.mark.parametrize(
        ("status", "headers", "is_not_run"),
        [
            (503, {"Not-Executed": "1"}, True),
            (429, {"Not-Executed": "1"}, True),
            (400, {"Not-Executed": "1"}, True),
            (503, {}, False),
            (421, {}, True),
            (200, {"Not-Executed": "1"}, False),
            (500, {"Not-Executed": "1"}, False),
        ],
    )
    def test_not_run_needs_its_header_or_status_421(self, status, headers, is_not_run):
        lines = HTTPHeaders({"Content-Length": "0", **headers})
        head = PlatformHeaders().decode_answer(status, lines, "GET")
        assert head.is_not_run is is_not_run

    @pytest.mark.parametrize(
        ("headers", "closes", "idle"),
        [
            ({"Content-Length": "1", "Keep-Alive": "timeout=5, max=9"}, False, 5.0),
            ({"Content-Length": "1", "Connection": "close"}, True, None),
            ({}, True, None),
        ],
    )
    def test_connection_close_and_idle_timeout(self, headers, closes, idle):
        head = PlatformHeaders().decode_answer(200, HTTPHeaders(headers), "GET")
        assert (head.closes_connection, head.idle_timeout) == (closes, idle)

    @pytest.mark.parametrize(
        ("status", "text", "seconds"),
        [
            (503, "2", 2.0),
            (503, "0.25", 0.25),
            (503, "1e9", 30.0),
            (503, "inf", 30.0),
            (503, "0", None),
            (503, "-1", None),
            (503, "nan", None),
            (503, "soon", None),
            (503, "1,2", None),
            (200, "2", None),
            (429, "2", None),
        ],
    )
    def test_time_without_requests_is_bounded(self, status, text, seconds):
        headers = HTTPHeaders({"Content-Length": "0", "Retry-After": text})
        head = PlatformHeaders().decode_answer(status, headers, "GET")
        assert head.retry_after == seconds

    @pytest.mark.parametrize(
        ("values", "is_leaving"), [((), False), (("1",), True), (("0",), False)]
    )
    def test_a_target_says_that_it_leaves(self, values, is_leaving):
        headers = HTTPHeaders({"Content-Length": "0"})
        for value in values:
            headers.add("Server-Leaving", value)
        assert (
            PlatformHeaders().decode_answer(503, headers, "GET").is_leaving
            is is_leaving
        )

    @pytest.mark.parametrize(
        ("lines", "terms"),
        [
            ({}, TargetTerms()),
            ({"Server-Limit": "1.2"}, TargetTerms(1.2)),
            ({"Server-Limit": "0"}, TargetTerms(0.0)),
            ({"Server-Brittle": "3"}, TargetTerms(None, 3)),
            ({"Server-Limit": "5", "Server-Brittle": "2"}, TargetTerms(5.0, 2)),
            ({"Server-Limit": "-1"}, TargetTerms()),
            ({"Server-Limit": "many"}, TargetTerms()),
            ({"Server-Limit": "nan"}, TargetTerms()),
            ({"Server-Brittle": "inf"}, TargetTerms(None, 1_000_000)),
        ],
    )
    def test_a_target_states_its_terms(self, lines, terms):
        headers = HTTPHeaders({"Content-Length": "0", **lines})
        assert PlatformHeaders().decode_answer(200, headers, "GET").terms == terms

    @pytest.mark.parametrize(
        ("text", "seconds"),
        [
            ("1500", 1.5),
            ("0.5", 0.0005),
            ("0", 0.0),
            ("1e9", 60.0),
            ("", None),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("1,2", None),
        ],
    )
    def test_a_target_states_how_long_it_stays_cold(self, text, seconds):
        headers = HTTPHeaders({"Content-Length": "0", "Cold-Ms": text})
        head = PlatformHeaders().decode_answer(200, headers, "GET")
        assert head.cold_left == seconds

    def test_an_unreadable_cold_header_is_logged_once_and_truncated(self):
        """Guards against a log line of any length for each answer."""
        lines = []
        sink = logger.add(lambda line: lines.append(line.record))
        headers = HTTPHeaders({"Content-Length": "0", "Cold-Ms": "soon " * 99})
        for _ in range(3):
            PlatformHeaders().decode_answer(200, headers, "GET")
        logger.remove(sink)
        assert [line["message"] for line in lines] == ["invalid Cold-Ms; ignoring it"]
        assert len(lines[0]["extra"]["value"]) == 100


class TestRefusalHeaders:
    def test_retry_after_keeps_its_fraction(self):
        headers = make_refusal_headers("r1", 0.25)
        assert headers["Retry-After"] == "0.250"
        assert headers["Attempt-Id"] == "r1"
