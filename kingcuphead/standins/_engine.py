"""Core of the stand-in engine: batching, generation and faults."""

import asyncio
import dataclasses
import enum
import os
from collections.abc import AsyncIterator

import msgspec

from kingcuphead.standins._batch import Batch
from kingcuphead.standins._engine_orders import Assignment
from kingcuphead.standins._engine_records import (
    EngineRecords,
    RequestLog,
    RequestRecord,
    RequestState,
)
from kingcuphead.standins._prefix_cache import PrefixCache
from kingcuphead.standins.chat import ChatRequest, compose_answer, digest_prompt

#: Exit status of the process in `CrashMode.EXIT`.
CRASH_EXIT_STATUS = 70


class CrashMode(enum.StrEnum):
    """Effect of a crash on the stand-in."""

    #: The process exits.
    EXIT = "exit"
    #: Queued and running requests fail and the cache is cleared; records are kept.
    RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity, speed and faults of a stand-in engine, fixed at start."""

    #: Name of the engine in its records and load reports.
    name: str
    #: Versions of the models served at start, by name of model.
    models: dict[str, str]
    #: Maximum number of concurrent requests.
    concurrency: int = 8
    #: Time between two tokens of one answer, in seconds.
    token_interval: float = 0.005
    #: Prefill time of each uncached prompt token, in seconds.
    prefill_per_token: float = 0.00005
    #: Length of an answer in tokens, unless the request sets a lower limit.
    answer_tokens: int = 64
    #: Capacity of the prefix cache in blocks of 64 bytes.
    cache_blocks: int = 4096
    #: Maximum age of a load report, in seconds.
    load_lag: float = 0.5
    #: Text in a prompt that crashes the engine; empty to disable.
    crash_marker: str = ""
    #: Effect of a crash.
    crash_mode: CrashMode = CrashMode.EXIT
    #: Whether orders with stale fencing numbers are refused.
    checks_fencing: bool = True


class EngineSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a stand-in engine that tests switch at run time."""

    #: Refuse every request with HTTP 503, as an instance that is leaving does.
    refuse: bool = False
    #: Refuse with HTTP 429 instead of queueing when every slot is in use.
    refuse_when_full: bool = False
    #: Delay before a request is admitted, in seconds.
    delay: float = 0.0
    #: Number of tokens after which generation stalls; None to disable.
    stall_after: int | None = None
    #: Number of tokens after which the connection is closed; None to disable.
    break_after: int | None = None
    #: Number of tokens added to the reported usage.
    excess_usage: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine, up to `EngineSettings.load_lag` seconds old."""

    #: Name of the engine.
    name: str
    #: Number of requests that hold a slot.
    running: int
    #: Number of requests in the engine's queue.
    waiting: int
    #: Utilisation of the prefix cache, from 0 to 1.
    cache_use: float
    #: Current role, such as `general`.
    role: str
    #: Versions of the served models and adapters, by name.
    models: dict[str, str]


class Crashed(Exception):
    """The engine crashed while the request was queued or running."""


class ConnectionBroken(Exception):
    """The `break_after` switch closed the connection during generation."""


class Engine:
    """Generates answers with the configured capacity, speed and faults.

    Parameters
    ----------
    settings : EngineSettings
        Capacity, speed and crash behaviour.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.switches = EngineSwitches()
        self.assignment = Assignment(settings.models, settings.checks_fencing)
        self.log = RequestLog()
        self.batch = Batch(settings.concurrency)
        self._cache = PrefixCache(settings.cache_blocks)
        self._crash_count = 0
        self._report: tuple[float, LoadReport] | None = None

    @property
    def records(self) -> EngineRecords:
        """Every request received and every order applied."""
        return EngineRecords(
            self.settings.name, self.log.records, self.assignment.applied
        )

    def record_arrival(
        self, chat: ChatRequest, request_id: str, organisation: str
    ) -> int:
        """Record the arrival of a request and return the index of its record."""
        return self.log.append(
            RequestRecord(
                request_id,
                organisation,
                chat.model,
                digest_prompt(chat.prompt),
                chat.prompt_tokens,
            )
        )

    def count_answer_tokens(self, chat: ChatRequest) -> int:
        """Return the length of the answer in tokens."""
        limit = chat.token_limit
        default_length = self.settings.answer_tokens
        return default_length if limit is None else min(limit, default_length)

    def report_load(self, now: float) -> LoadReport:
        """Return the load report, which is cached for `load_lag` seconds."""
        if self._report is None or now - self._report[0] >= self.settings.load_lag:
            self._report = (now, self._measure_load())
        return self._report[1]

    async def generate(
        self, chat: ChatRequest, record_index: int
    ) -> AsyncIterator[str]:
        """Yield the tokens of the answer at the configured speed.

        Parameters
        ----------
        chat : ChatRequest
            The request.
        record_index : int
            Index of its record in the request log.

        Raises
        ------
        Crashed
            If the engine crashes before the last token.
        ConnectionBroken
            If generation reaches the token set by `break_after`.
        """
        try:
            async for token in self._run(chat, record_index):
                yield token
        except (asyncio.CancelledError, GeneratorExit, ConnectionBroken):
            self.log.update(record_index, state=RequestState.CANCELLED)
            raise
        except Crashed:
            self.log.update(record_index, state=RequestState.CRASHED)
            raise
        self.log.update(record_index, state=RequestState.FINISHED)

    async def _run(self, chat: ChatRequest, record_index: int) -> AsyncIterator[str]:
        crash_count = self._crash_count
        async with self.batch.hold_slot(chat.priority):
            self._raise_if_crashed(crash_count)
            self.log.update(record_index, state=RequestState.RUNNING)
            await self._prefill(chat, record_index)
            tokens = compose_answer(chat.prompt, self.count_answer_tokens(chat))
            for position, token in enumerate(tokens):
                await self._inject_stream_faults(position)
                await asyncio.sleep(self.settings.token_interval)
                self._raise_if_crashed(crash_count)
                self.log.count_token(record_index)
                yield token

    async def _prefill(self, chat: ChatRequest, record_index: int) -> None:
        marker = self.settings.crash_marker
        if marker and marker in chat.prompt:
            self._crash()
        cached = self._cache.match_and_insert(chat.prompt)
        self.log.update(record_index, cached_tokens=cached)
        uncached = max(0, chat.prompt_tokens - cached)
        await asyncio.sleep(uncached * self.settings.prefill_per_token)

    async def _inject_stream_faults(self, position: int) -> None:
        if self.switches.break_after == position:
            raise ConnectionBroken
        while self.switches.stall_after == position:
            await asyncio.sleep(self.settings.token_interval)

    def _crash(self) -> None:
        if self.settings.crash_mode is CrashMode.EXIT:
            os._exit(CRASH_EXIT_STATUS)
        self._crash_count += 1
        self._cache.clear()
        raise Crashed

    def _raise_if_crashed(self, crash_count: int) -> None:
        if self._crash_count != crash_count:
            raise Crashed

    def _measure_load(self) -> LoadReport:
        return LoadReport(
            name=self.settings.name,
            running=self.batch.running,
            waiting=self.batch.waiting,
            cache_use=self._cache.utilisation,
            role=self.assignment.role,
            models=self.assignment.models,
        )
