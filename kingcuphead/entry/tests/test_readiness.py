import asyncio

import pytest
from tornado.httpclient import AsyncHTTPClient

from kingcuphead.entry._readiness import serve_readiness
from kingcuphead.platform import READINESS_PATH


class TestReadiness:
    @pytest.mark.parametrize(("is_ready", "status"), [(True, 200), (False, 503)])
    def test_each_answer_is_recorded(self, is_ready, status):
        """Guards against closing connections before the balancer knows of it."""

        async def main():
            answers: list[bool] = []
            server = serve_readiness("127.0.0.1", 0, lambda: is_ready, answers.append)
            (socket,) = server._sockets.values()
            url = f"http://127.0.0.1:{socket.getsockname()[1]}{READINESS_PATH}"
            answer = await AsyncHTTPClient().fetch(url, raise_error=False)
            server.stop()
            return answer.code, answers

        assert asyncio.run(main()) == (status, [is_ready])
