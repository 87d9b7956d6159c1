import asyncio

from kingcuphead.storage._exchange import LiteralResolver


class TestLiteralResolver:
    """Guards against a thread, and its processor time, for each call to the store."""

    def test_an_address_is_resolved_without_a_thread(self, monkeypatch):
        async def run():
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "run_in_executor", None)
            return await LiteralResolver().resolve("127.0.0.1", 8080)

        ((_, address),) = asyncio.run(run())
        assert address == ("127.0.0.1", 8080)

    def test_a_name_is_still_resolved(self):
        found = asyncio.run(LiteralResolver().resolve("localhost", 8080))
        assert all(address[1] == 8080 for _, address in found)
