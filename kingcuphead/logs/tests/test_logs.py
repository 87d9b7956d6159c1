import asyncio
import io
import json
import logging

import pytest
from loguru import logger

from kingcuphead.logs import (
    LogFormat,
    LogLevel,
    LogSettings,
    bind_request,
    set_up_logs,
)


@pytest.fixture
def stream():
    yield io.StringIO()
    logger.remove()
    logger.configure(extra={}, patcher=lambda record: None)
    logging.basicConfig(handlers=[], force=True)


class TestLogs:
    def test_json_line_carries_the_bound_request(self, stream):
        set_up_logs(LogSettings(), "d1", stream)
        with bind_request("r1", "o"):
            logger.info("request answered")
        line = json.loads(stream.getvalue())
        assert line["message"] == "request answered"
        assert (line["instance"], line["request_id"]) == ("d1", "r1")
        assert (line["organisation"], line["level"]) == ("o", "info")

    def test_concurrent_tasks_log_their_own_request(self, stream):
        set_up_logs(LogSettings(), "d1", stream)

        async def serve(request_id: str) -> None:
            with bind_request(request_id):
                await asyncio.sleep(0)
                logger.info("end of {}", request_id)

        async def serve_both() -> None:
            await asyncio.gather(serve("r1"), serve("r2"))

        asyncio.run(serve_both())
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert all(line["message"].endswith(line["request_id"]) for line in lines)

    @pytest.mark.parametrize("format_", list(LogFormat))
    def test_unlisted_bindings_and_local_values_are_omitted(self, stream, format_):
        set_up_logs(LogSettings(format_), "d1", stream)
        secret = "sk-" + "secret"
        try:
            len(secret) / 0
        except ZeroDivisionError:
            logger.bind(prompt=secret, key=secret).exception("failed")
        assert "ZeroDivisionError" in stream.getvalue()
        assert secret not in stream.getvalue()

    def test_minimum_level_and_standard_library_loggers(self, stream):
        settings = LogSettings(LogFormat.TEXT, LogLevel.WARNING)
        set_up_logs(settings, "d1", stream)
        logger.info("unseen")
        logging.getLogger("tornado.general").warning("seen {braces} %s", 1)
        assert "unseen" not in stream.getvalue()
        assert "seen {braces} 1" in stream.getvalue()

    def test_exception_stays_inside_one_json_line(self, stream):
        set_up_logs(LogSettings(), "d1", stream)
        logger.opt(exception=ValueError("cause")).error("failed")
        assert "ValueError: cause" in json.loads(stream.getvalue())["exception"]

    def test_line_breaks_stay_inside_one_json_line(self, stream):
        set_up_logs(LogSettings(), "d1", stream)
        logger.info("a\nb {x}")
        assert json.loads(stream.getvalue())["message"] == "a\nb {x}"
