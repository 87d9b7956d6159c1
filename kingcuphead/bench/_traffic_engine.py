"""A model engine in virtual time: continuous batching with a prefix cache."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from kingcuphead.bench._traffic_clock import VirtualClock
from kingcuphead.bench._traffic_workload import Job

#: Sequences that run in one batch.
BATCH_SIZE = 16
#: Prompt tokens that one step takes in.
PREFILL_CHUNK_TOKENS = 1024
#: Time of an empty step, in seconds.
STEP_SECONDS = 0.020
#: Time that each decoding sequence adds to a step, in seconds.
DECODE_SECONDS = 0.0004
#: Time that each prompt token adds to a step, in seconds.
PREFILL_SECONDS = 0.00005
#: Prompt tokens that the prefix cache holds.
CACHE_TOKENS = 16_000


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request inside the engine."""

    #: The work to do.
    job: Job
    #: Priority given by the router; 0 goes first.
    priority: int
    #: Called at the first token with whether the prefix was cached.
    on_start: Callable[[bool], None]
    #: Called when the last token is out.
    on_finish: Callable[[], None]
    #: Prompt tokens still to take in; None before it joins the batch.
    prompt_left: int | None = None
    #: Output tokens still to generate.
    output_left: int = 0
    #: Whether its prefix was found in the cache.
    is_hit: bool = False
    #: Whether the caller has gone.
    is_cancelled: bool = False


class Engine:
    """Runs sequences step by step; each step yields a token for each of them.

    Parameters
    ----------
    name : str
        Name of the target.
    clock : VirtualClock
        Time of the run.
    is_preemptive : bool
        Whether a sequence of a higher priority takes the place of a running one,
        which keeps its state and goes on later. Without it, priorities order only
        what waits.
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
        """Sequences in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Sequences that wait for the batch."""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """Take in a request."""
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
        decoding = [entry for entry in self._batch if entry.prompt_left == 0]
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
            sequence.output_left -= 1
        decoding = [entry for entry in decoding if not entry.is_cancelled]
        done = [entry for entry in decoding if entry.output_left <= 0]
        self._batch = [
            entry
            for entry in self._batch
            if not entry.is_cancelled
            and (entry.prompt_left != 0 or entry.output_left > 0)
        ]
        for sequence in done:
            sequence.on_finish()
        self._step()

    def _fill_batch(self) -> None:
        self._waiting = [entry for entry in self._waiting if not entry.is_cancelled]
        self._waiting.sort(key=lambda entry: entry.priority)
        while self._waiting and (len(self._batch) < BATCH_SIZE or self._preempt()):
            sequence = self._waiting.pop(0)
            if sequence.prompt_left is None:
                self._begin(sequence)
            self._batch.append(sequence)

    def _preempt(self) -> bool:
        """Pause the least urgent sequence if a more urgent one waits."""
        last = max(self._batch, key=lambda entry: entry.priority)
        if not self._is_preemptive or last.priority <= self._waiting[0].priority:
            return False
        self._batch.remove(last)
        self._waiting.append(last)
        return True

    def _begin(self, sequence: Sequence) -> None:
        job = sequence.job
        sequence.is_hit = job.prefix_key in self._cache
        cached = job.prefix_tokens if sequence.is_hit else 0
        sequence.prompt_left = max(1, job.prompt_tokens - cached)
        sequence.output_left = job.output_tokens

    def _prefill(self) -> tuple[list[Sequence], int]:
        """Take in one chunk; return the sequences that are through, and its size."""
        left = PREFILL_CHUNK_TOKENS
        through = []
        for sequence in sorted(self._batch, key=lambda entry: entry.priority):
            if not sequence.prompt_left or not left:
                continue
            taken = min(left, sequence.prompt_left)
            left -= taken
            sequence.prompt_left -= taken
            if not sequence.prompt_left:
                through.append(sequence)
        return through, PREFILL_CHUNK_TOKENS - left

    def _store_prefix(self, job: Job) -> None:
        if not job.prefix_key:
            return
        self._cache[job.prefix_key] = job.prefix_tokens
        self._cache.move_to_end(job.prefix_key)
        while sum(self._cache.values()) > CACHE_TOKENS:
            self._cache.popitem(last=False)
