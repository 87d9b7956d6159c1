import msgspec
import pytest
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.testing import AsyncHTTPTestCase

from kingcuphead.standins import service
from kingcuphead.standins._service import Service


class TestService(AsyncHTTPTestCase):
    def get_app(self):
        self.service = Service("order-desk")
        return service.make_application(self.service)

    def place_order(self, key: str) -> int:
        headers = {"Idempotency-Key": key}
        return self.fetch("/orders", method="POST", body=b"kit", headers=headers).code

    def test_repeated_order_is_executed_twice(self):
        assert [self.place_order("k"), self.place_order("k")] == [201, 201]
        records = msgspec.json.decode(self.fetch("/records").body)
        assert [d["key"] for d in records["dispatches"]] == ["k", "k"]

    def test_lost_reply_after_execution(self):
        self.fetch("/switches", method="POST", body=b'{"lose_replies": 1}')
        with pytest.raises(HTTPStreamClosedError):
            self.place_order("a")
        assert self.place_order("b") == 201
        assert len(self.service.records.dispatches) == 2

    def test_refusal_before_execution(self):
        self.fetch("/switches", method="POST", body=b'{"refuse": true}')
        assert self.place_order("a") == 503
        assert self.service.records.dispatches == ()

    def test_other_calls_echo_the_request(self):
        reply = msgspec.json.decode(self.fetch("/stock/4?q=oak").body)
        assert (reply["method"], reply["path"]) == ("GET", "/stock/4?q=oak")
        assert self.service.records.calls == 1
