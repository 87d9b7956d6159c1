import asyncio

import pytest
from tornado.httpclient import AsyncHTTPClient

from kingcuphead.entry._get_server import Answer, serve_get

HOST, PORT = "127.0.0.1", 21_804
CONTENT = Answer(503, b"content", "text/plain")


async def answer_later():
    return CONTENT


async def fail():
    raise OSError("no answer")


async def fetch(path, method, get_answer=lambda: CONTENT):
    server = serve_get(HOST, PORT, "/resource", get_answer)
    try:
        return await AsyncHTTPClient().fetch(
            f"http://{HOST}:{PORT}{path}", method=method, raise_error=False
        )
    finally:
        server.stop()
        await server.close_all_connections()


class TestGetServer:
    @pytest.mark.parametrize(
        ("path", "method", "status", "body"),
        [
            ("/resource", "GET", 503, b"content"),
            ("/resource?verbose=1", "GET", 503, b"content"),
            ("/resource", "HEAD", 405, b""),
            ("/resource", "DELETE", 405, b""),
            ("/other", "GET", 404, b""),
        ],
    )
    def test_only_the_resource_is_served(self, path, method, status, body):
        answer = asyncio.run(fetch(path, method))
        assert (answer.code, answer.body) == (status, body)

    @pytest.mark.parametrize(
        ("get_answer", "status"), [(answer_later, 503), (fail, 500)]
    )
    def test_an_answer_may_take_time_or_fail(self, get_answer, status):
        assert asyncio.run(fetch("/resource", "GET", get_answer)).code == status

    def test_the_media_type_is_sent(self):
        answer = asyncio.run(fetch("/resource", "GET"))
        assert answer.headers["Content-Type"] == "text/plain"
