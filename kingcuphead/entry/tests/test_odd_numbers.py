import asyncio

import pytest

from kingcuphead.entry.tests._fleet import Fleet
from kingcuphead.entry.tests._target import LocalTarget
from kingcuphead.platform.tests._documents import make_answer

#: Tokens that a target's memory has room for.
MEMORY_TOKENS = 400_000
#: Seconds after which a target refuses a request that is too large; longer than the
#: interval of the load reports, so that one is sent meanwhile.
REFUSAL_SECONDS = 0.4
#: What a counter of 64 bits makes of -1, and other numbers beyond those of a message.
LARGE_NUMBERS = (
    *map(str, (2**64 - 1, 2**63, 2**31)),
    *("9" * digits for digits in (300, 4_000, 4_500)),
)
REFUSED_COUNTS = [
    *(f"{number},80" for number in LARGE_NUMBERS),
    *(f"100,{number}" for number in LARGE_NUMBERS),
]
LARGE_PARTS = [
    *(f"5c:{number},e4:20" for number in LARGE_NUMBERS),
    *(f"5c:{number},91:{number},e4:{number}" for number in LARGE_NUMBERS),
]


class BoundedTarget(LocalTarget):
    """Refuses a request that is larger than its memory, as if it were full."""

    async def answer(self, headers, body, writer):
        counts = headers.get("token-counts", "0,0").split(",")
        # Python limits the digits of a number that is parsed.
        is_large = any(len(count) > 10 for count in counts)
        if is_large or sum(map(int, counts)) > MEMORY_TOKENS:
            await asyncio.sleep(REFUSAL_SECONDS)
            lines = ["Not-Executed: 1"]
            status = "503 Service Unavailable"
            writer.write(make_answer(headers["attempt-id"], b"", status, lines))
            return
        if headers.get("prompt-prefix"):
            await asyncio.sleep(REFUSAL_SECONDS)
        writer.write(make_answer(headers["attempt-id"], b"ok"))


async def send_size(fleet, number, counts, parts=""):
    """Return the status that a request of some size gets."""
    lines = {"Token-Counts": counts}
    if parts:
        lines["Prompt-Prefix"] = parts
    return await fleet.send(number, b"plan", lines=lines)


def run(scenario):
    async def main():
        def make_targets(register):
            return [BoundedTarget(f"t{number}", "v1", register) for number in (1, 2)]

        async with asyncio.timeout(60), Fleet(make_targets) as fleet:
            await scenario(fleet)
            assert all(not task.done() for _, task in fleet.daemons.values())
            plain = [fleet.send(1 + n % 3, b"%d" % n) for n in range(12)]
            assert set(await asyncio.gather(*plain)) == {200}

    asyncio.run(main())


class TestOddNumbers:
    """Guards against daemons that a number of a caller ends.

    A prompt of 2**64 - 1 tokens could not be encoded in a load report, whose task
    failed and ended the daemon with all other requests (issue 62).
    """

    @pytest.mark.parametrize("counts", REFUSED_COUNTS, ids=lambda text: text[:24])
    def test_a_request_that_no_target_can_hold_is_refused_as_not_run(self, counts):
        async def scenario(fleet):
            sent = [send_size(fleet, number, counts) for number in (1, 2, 3)]
            assert await asyncio.gather(*sent) == [503, 503, 503]

        run(scenario)

    @pytest.mark.parametrize("parts", LARGE_PARTS, ids=lambda text: text[:24])
    def test_parts_larger_than_their_prompt_cost_others_nothing(self, parts):
        async def scenario(fleet):
            sent = [send_size(fleet, 1, "100,80", parts) for _ in range(6)]
            assert set(await asyncio.gather(*sent)) == {200}
            daemon, _ = fleet.daemons[1]
            for state in daemon._dispatcher._states.values():
                assert state.pending_prefill_tokens == 0
                assert state.held_tokens.total == 0

        run(scenario)
