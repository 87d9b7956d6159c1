from functools import partial

from kingcuphead.bench._traffic_clock import VirtualClock
from kingcuphead.bench._traffic_engine import BATCH_SIZE, Engine, Sequence
from kingcuphead.bench._traffic_report import summarise
from kingcuphead.bench._traffic_runs import Policy, RunPlan, measure_rates, run
from kingcuphead.bench._traffic_workload import ATLAS, Job


def run_sequences(priorities, is_preemptive=True):
    """Return the times to first token, in seconds, of jobs that arrive 0.2 s apart."""
    clock = VirtualClock()
    engine = Engine("engine-0", clock, is_preemptive)
    started: dict[int, float] = {}

    def start(number, is_hit):
        started[number] = clock.now

    def submit(number, priority):
        job = Job(f"j{number}", clock.now, "o", "c", 60.0, 1000, 900, 200, "prefix")
        engine.submit(
            Sequence(
                job,
                priority,
                on_start=partial(start, number),
                on_finish=lambda: None,
            )
        )

    for number, priority in enumerate(priorities):
        clock.schedule(0.2 * number, partial(submit, number, priority))
    clock.run_until(60.0)
    return {number: at - 0.2 * number for number, at in started.items()}


class TestEngine:
    def test_cached_prefix_shortens_the_time_to_first_token(self):
        times = run_sequences([0, 0])
        assert times[1] < times[0] - 0.03

    def test_urgent_sequence_preempts_another_in_a_full_batch(self):
        priorities = [1] * BATCH_SIZE + [0]
        assert run_sequences(priorities)[BATCH_SIZE] < 0.2
        assert run_sequences(priorities, is_preemptive=False)[BATCH_SIZE] > 0.2


class TestRun:
    def test_same_seed_gives_the_same_figures(self):
        rates = measure_rates(ATLAS)
        plan = RunPlan(ATLAS, 3, Policy.KINGCUPHEAD, load=1.0, seed=1)
        first, second = (tuple(summarise(run(plan, rates))) for _ in range(2))
        assert first == second
        assert all(figures.useful > 0 for figures in first)
