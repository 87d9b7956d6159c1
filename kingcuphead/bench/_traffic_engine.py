"""Simulated model engine: continuous batching with a prefix cache."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from kingcuphead.bench._traffic_clock import VirtualClock
from kingcuphead.bench._traffic_workload import Job

#: Maximum number of sequences in the batch.
BATCH_SIZE = 16
#: Maximum number of prompt tokens that one step prefills.
PREFILL_CHUNK_TOKENS = 1024
#: Fixed duration of a step, in seconds.
STEP_SECONDS = 0.020
#: Duration that each decoding sequence adds to a step, in seconds.
DECODE_SECONDS = 0.0004
#: Duration that each prefilled token adds to a step, in seconds.
PREFILL_SECONDS = 0.00005
#: Capacity of the prefix cache, in prompt tokens.
CACHE_TOKENS = 16_000


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request inside the engine."""

    #: Request to run.
    job: Job
    #: Priority set by the router; 0 is the most urgent.
    priority: int
    #: Called at the first token, with whether the prefix was cached.
    on_start: Callable[[bool], None]
    #: Called after the last token.
    on_finish: Callable[[], None]
    #: Prompt tokens pending prefill; None until the sequence first joins the batch.
    pending_prompt_tokens: int | None = None
    #: Number of output tokens still to generate.
    pending_output_tokens: int = 0
    #: Whether its prefix was cached when it first joined the batch.
    is_hit: bool = False
    #: Whether the caller has disconnected.
    is_cancelled: bool = False


class Engine:
    """Runs a batch of sequences in steps; each step decodes one token per sequence.

    Parameters
    ----------
    name : str
        Name of the target.
    clock : VirtualClock
        Virtual clock of the run.
    is_preemptive : bool
        Whether a waiting sequence of a higher priority preempts a running one, which
        keeps its state and resumes later. Otherwise priorities order only the
        waiting sequences.
    """

    def __init__(
        self, name: str, clock: VirtualClock, is_preemptive: bool = True
    ) -> None:
        self.name = name
        self._is_preemptive = is_preemptive
        self.is_leaving = False
        self._clock = clock
        self._waiting: list[Sequence] = []
        self._batch: list[Sequence] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._is_stepping = False

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for a place in the batch."""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """Enqueue a sequence and start stepping if the engine is idle."""
        self._waiting.append(sequence)
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def _step(self) -> None:
        self._fill_batch()
        if not self._batch:
            self._is_stepping = False
            return
        started, prefilled = self._prefill()
        decoding = [entry for entry in self._batch if entry.pending_prompt_tokens == 0]
        seconds = (
            STEP_SECONDS + PREFILL_SECONDS * prefilled + DECODE_SECONDS * len(decoding)
        )
        self._clock.schedule(seconds, lambda: self._end_step(started, decoding))

    def _end_step(self, started: list[Sequence], decoding: list[Sequence]) -> None:
        for sequence in started:
            self._store_prefix(sequence.job)
            if sequence.is_cancelled:
                continue
            sequence.on_start(sequence.is_hit)
        for sequence in decoding:
            sequence.pending_output_tokens -= 1
        decoding = [entry for entry in decoding if not entry.is_cancelled]
        done = [entry for entry in decoding if entry.pending_output_tokens <= 0]
        self._batch = [
            entry
            for entry in self._batch
            if not entry.is_cancelled
            and (entry.pending_prompt_tokens != 0 or entry.pending_output_tokens > 0)
        ]
        for sequence in done:
            sequence.on_finish()
        self._step()

    def _fill_batch(self) -> None:
        self._waiting = [entry for entry in self._waiting if not entry.is_cancelled]
        self._waiting.sort(key=lambda entry: entry.priority)
        while self._waiting and (len(self._batch) < BATCH_SIZE or self._preempt()):
            sequence = self._waiting.pop(0)
            if sequence.pending_prompt_tokens is None:
                self._initialise(sequence)
            self._batch.append(sequence)

    def _preempt(self) -> bool:
        """Preempt the least urgent running sequence if a more urgent one waits.

        Returns whether a place in the batch became free.
        """
        least_urgent = max(self._batch, key=lambda entry: entry.priority)
        if (
            not self._is_preemptive
            or least_urgent.priority <= self._waiting[0].priority
        ):
            return False
        self._batch.remove(least_urgent)
        self._waiting.append(least_urgent)
        return True

    def _initialise(self, sequence: Sequence) -> None:
        job = sequence.job
        sequence.is_hit = job.prefix_key in self._cache
        cached = job.prefix_tokens if sequence.is_hit else 0
        sequence.pending_prompt_tokens = max(1, job.prompt_tokens - cached)
        sequence.pending_output_tokens = job.output_tokens

    def _prefill(self) -> tuple[list[Sequence], int]:
        """Prefill one chunk; return the completed sequences and the chunk size."""
        remaining = PREFILL_CHUNK_TOKENS
        completed = []
        for sequence in sorted(self._batch, key=lambda entry: entry.priority):
            if not sequence.pending_prompt_tokens or not remaining:
                continue
            tokens = min(remaining, sequence.pending_prompt_tokens)
            remaining -= tokens
            sequence.pending_prompt_tokens -= tokens
            if not sequence.pending_prompt_tokens:
                completed.append(sequence)
        return completed, PREFILL_CHUNK_TOKENS - remaining

    def _store_prefix(self, job: Job) -> None:
        if not job.prefix_key:
            return
        self._cache[job.prefix_key] = job.prefix_tokens
        self._cache.move_to_end(job.prefix_key)
        while sum(self._cache.values()) > CACHE_TOKENS:
            self._cache.popitem(last=False)
