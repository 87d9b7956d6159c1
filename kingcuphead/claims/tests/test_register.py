import asyncio

import pytest

from kingcuphead.claims import (
    AnswerLost,
    ClaimEntry,
    ClaimRegister,
    ClaimState,
    Held,
    Released,
    Resolved,
)
from kingcuphead.claims._resolution import decide_resolution
from kingcuphead.claims._rows import encode_claim, make_row_key
from kingcuphead.claims.tests._calls import ANSWER, make_request
from kingcuphead.storage import InstanceState, MemoryTable, Put, Transaction

RAN = Resolved("the service has the order")
NOT_RUN = Released("the service has no such order")


def make_entry(state: ClaimState) -> ClaimEntry:
    claim = make_request().row.with_state(state)
    return ClaimEntry("org", "key", make_request().row_key, 1, claim)


def make_table(*calls: tuple[str, str]) -> MemoryTable:
    table = MemoryTable()
    for organisation, key in calls:
        value = encode_claim(make_request().row)
        put = Put(make_row_key(organisation, key), value)
        table.commit_now(Transaction((), (put,)))
    return table


class TestResolution:
    @pytest.mark.parametrize(
        ("state", "resolution", "holder_state", "is_allowed"),
        [
            (Held(), RAN, InstanceState.LIVE, True),
            (Held(), NOT_RUN, InstanceState.TERMINATED, True),
            (Held(), NOT_RUN, InstanceState.LEAVING, False),
            (Held(), NOT_RUN, InstanceState.LIVE, False),
            (Held(), NOT_RUN, None, False),
            (AnswerLost("reset"), NOT_RUN, InstanceState.LIVE, True),
            (AnswerLost("reset"), RAN, None, True),
            (ANSWER, NOT_RUN, InstanceState.TERMINATED, False),
            (Released(), RAN, InstanceState.TERMINATED, False),
        ],
    )
    def test_held_claim_is_released_only_if_its_holder_is_terminated(
        self, state, resolution, holder_state, is_allowed
    ):
        decision = decide_resolution(make_entry(state), resolution, holder_state)
        assert decision.is_ok() is is_allowed


class TestClaimRegister:
    def test_lists_one_organisation_or_all(self):
        table = make_table(("a", "1"), ("a", "x/y z"), ("ab", "2"))
        register = ClaimRegister(table)
        own = asyncio.run(register.list_claims("a")).ok.entries
        first = asyncio.run(register.list_claims(limit=2)).ok
        rest = asyncio.run(register.list_claims(after=first.resume_after)).ok
        assert {(e.organisation, e.key) for e in own} == {("a", "1"), ("a", "x/y z")}
        assert [e.organisation for e in first.entries + rest.entries] == [
            "a",
            "a",
            "ab",
        ]

    def test_row_of_a_newer_schema_is_listed_as_unreadable(self):
        table = make_table()
        put = Put(make_row_key("a", "1"), b'{"schema": 2}')
        table.commit_now(Transaction((), (put,)))
        page = asyncio.run(ClaimRegister(table).list_claims()).ok
        assert [fault.key for fault in page.unreadable] == ["claim/a/1"]

    def test_resolves_only_the_version_that_was_read(self):
        async def run() -> None:
            register = ClaimRegister(make_table(("a", "1")))
            entry = (await register.find_claim("a", "1")).ok
            assert entry is not None
            assert entry.state_name == "held"
            resolved = (await register.resolve_claim(entry, RAN, None)).ok
            assert resolved.state_name == "resolved"
            stale = (await register.resolve_claim(entry, RAN, None)).error
            assert stale.cause == "the claim has changed since it was read"
            assert (await register.find_claim("a", "1")).ok == resolved
            assert (await register.find_claim("a", "2")).ok is None

        asyncio.run(run())
