"""Claims over HTTP against the stand-in platform with injected faults."""

import asyncio

from tornado.testing import AsyncHTTPTestCase, gen_test

from kingcuphead.claims import ClaimClosed, Claims, ClaimSettings, HeldClaim
from kingcuphead.claims.tests._calls import ANSWER, make_request
from kingcuphead.standins import platform
from kingcuphead.standins._platform_faults import (
    Outage,
    PlatformSwitchesChange,
    ServiceFaults,
)
from kingcuphead.standins._platform_state import PlatformState
from kingcuphead.storage import HttpTable, PlatformConnection, PlatformSettings
from kingcuphead.verdict import Execution

SETTINGS = ClaimSettings(acquire_timeout=0.5, initial_backoff=0.02, max_backoff=0.1)
REQUEST_TIMEOUT = 0.5


class TestClaimsOverHttp(AsyncHTTPTestCase):
    def get_app(self):
        self.state = PlatformState()
        return platform.make_application(self.state)

    def setUp(self):
        super().setUp()
        self.connection = PlatformConnection(
            PlatformSettings(self.get_url(""), request_timeout=REQUEST_TIMEOUT)
        )
        self.claims = Claims(HttpTable(self.connection), SETTINGS)

    def tearDown(self):
        self.connection.close()
        super().tearDown()

    def inject_faults(self, faults: ServiceFaults) -> None:
        self.state.change_switches(PlatformSwitchesChange(table=faults), 0.0)

    async def acquire_claim(self, attempt: str) -> HeldClaim:
        held = (await self.claims.claim(make_request(attempt))).ok
        assert isinstance(held, HeldClaim)
        return held

    @gen_test
    async def test_lost_replies_to_the_claim_and_the_final_write(self):
        self.inject_faults(ServiceFaults(lose_replies=1))
        held = await self.acquire_claim("a-1")
        held.start_dispatch()
        self.inject_faults(ServiceFaults(lose_replies=1))
        assert await self.claims.record(held, ANSWER) == ClaimClosed()
        assert (await self.claims.claim(make_request("a-2"))).ok == ANSWER

    @gen_test
    async def test_write_that_arrives_after_the_refusal_is_undone(self):
        self.inject_faults(ServiceFaults(delay=SETTINGS.acquire_timeout * 2))
        verdict = (await self.claims.claim(make_request("a-1"))).error
        assert verdict.execution is Execution.NOT_RUN
        self.inject_faults(ServiceFaults())
        await asyncio.sleep(SETTINGS.acquire_timeout * 2)
        await self.claims.wait_until_finished()
        await self.acquire_claim("a-2")

    @gen_test
    async def test_outage_while_the_answer_is_recorded(self):
        held = await self.acquire_claim("a-1")
        held.start_dispatch()
        self.inject_faults(ServiceFaults(outage=Outage.REFUSE))
        recording = asyncio.ensure_future(self.claims.record(held, ANSWER))
        await asyncio.sleep(0.1)
        assert not recording.done()
        self.inject_faults(ServiceFaults())
        assert await recording == ClaimClosed()

    @gen_test
    async def test_call_is_not_run_when_the_connection_is_refused_or_reset(self):
        for outage in (Outage.REFUSE, Outage.RESET):
            self.inject_faults(ServiceFaults(outage=outage))
            verdict = (await self.claims.claim(make_request(outage))).error
            assert verdict.execution is Execution.NOT_RUN
            assert not self.state.table.rows
