import statistics

import pytest

from kingcuphead.entry.tests._played_daemons import (
    CAPACITY,
    OBJECTIVE,
    PlayedDaemons,
    make_large_size,
    make_size,
)
from kingcuphead.permits.tests._virtual_time import run

#: Seconds within which a request that can't be served is refused.
PROMPT_REFUSAL = 0.05


def play(is_bounded, per_second, make_size, seed=1, capacity=CAPACITY, loss=0.0):
    """Play 16 daemons that share 18 engines, for 8 s of arrivals."""
    played = []

    async def main():
        fleet = PlayedDaemons(16, 18, is_bounded, seed)
        fleet.loss = loss
        await fleet.start(capacity)
        await fleet.offer(8, per_second, make_size)
        await fleet.finish()
        played.append(fleet)

    run(main())
    return played[0]


class TestMemoryThatSuffices:
    """Engines are a third busy; without the bound they hold a fifth of their memory."""

    def test_a_seed_determines_the_play(self):
        """Guards against bounds that are met or missed by chance."""
        first, second = (play(True, 50, make_size).outcomes for _ in range(2))
        assert first == second

    @pytest.mark.parametrize("seed", range(1, 7))
    def test_callers_get_the_same(self, seed):
        free, bounded = (play(each, 50, make_size, seed) for each in (False, True))
        assert len(bounded.outcomes) == len(free.outcomes)
        assert len(bounded.list_refused()) <= len(free.list_refused())
        waits = free.list_waits(), bounded.list_waits()
        means = [statistics.mean(each) for each in waits]
        assert means[1] <= 1.1 * means[0]
        upper = [statistics.quantiles(each, n=10)[-1] for each in waits]
        assert upper[1] <= 1.1 * upper[0]

    def test_small_requests_wait_for_no_answer_of_other_daemons(self):
        fleet = play(True, 50, make_size)
        large = [each for each in fleet.outcomes if each.tokens > 6_000]
        assert 0 < fleet.datagrams["PermitAsked"] <= 1.2 * len(large)


class TestMemoryThatDoesNotSuffice:
    """Large requests arrive twice as fast as the engines run them."""

    def test_no_engine_is_overfilled(self):
        """An engine that holds more tokens than its memory crashes."""
        free, bounded = (
            play(each, 80, make_large_size, capacity=200_000) for each in (False, True)
        )
        assert free.max_held_tokens > 2 * 200_000
        assert 0.5 * 200_000 <= bounded.max_held_tokens <= 200_000
        # Callers of the engines that work lose nothing: the requests wait.
        served = [each for each in bounded.outcomes if not each.refusal]
        assert len(served) >= 0.9 * len(bounded.outcomes)

    @pytest.mark.parametrize("seed", [1, 2])
    def test_refusals_are_prompt(self, seed):
        """A caller that is refused late has no time left for its retry."""
        fleet = play(True, 80, make_large_size, seed, 200_000)
        late = [each.seconds for each in fleet.list_refused()]
        assert max(late, default=0.0) <= PROMPT_REFUSAL

    @pytest.mark.parametrize("loss, seed", [(0.1, 1), (0.3, 2)])
    def test_lost_datagrams_overfill_none(self, loss, seed):
        fleet = play(True, 80, make_large_size, seed, 200_000, loss)
        assert fleet.max_held_tokens <= 200_000

    def test_a_request_that_never_fits_is_refused_at_once(self):
        fleet = play(True, 10, make_large_size, capacity=20_000)
        refused = [each for each in fleet.outcomes if each.tokens > 20_000]
        assert refused
        for each in refused:
            assert each.refusal.status == 503
            assert each.seconds <= PROMPT_REFUSAL
        others = [each for each in fleet.outcomes if each.tokens <= 20_000]
        assert not any(each.refusal for each in others if each.tokens < 10_000)
        assert statistics.median(each.seconds for each in others) <= OBJECTIVE
