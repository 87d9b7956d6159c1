"""Generation in a stand-in engine."""

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

#: Exit status of the process after a crash.
CRASH_STATUS = 70


class CrashMode(enum.StrEnum):
    """What a crash does to the stand-in."""

    #: The process exits.
    EXIT = "exit"
    #: Every stream breaks and the cache is lost, but the records are kept.
    RESTART = "restart"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Size and speed of a stand-in engine."""

    #: Name of the engine.
    name: str
    #: Versions by name of model.
    models: dict[str, str]
    #: Most requests that run at once.
    concurrency: int = 8
    #: Seconds between tokens.
    token_interval: float = 0.005
    #: Seconds of prefill for each token that isn't cached.
    prefill_per_token: float = 0.00005
    #: Tokens of an answer whose limit is higher.
    answer_tokens: int = 64
    #: Blocks of 64 bytes that the prefix cache holds.
    cache_blocks: int = 4096
    #: Most seconds that a load report is old.
    load_lag: float = 0.5
    #: Text in a prompt that makes the engine crash; empty for none.
    crash_marker: str = ""
    #: What a crash does.
    crash_mode: CrashMode = CrashMode.EXIT
    #: Whether orders with old fencing numbers are refused.
    checks_fencing: bool = True


class EngineSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a stand-in engine."""

    #: Refuse everything with HTTP 503, as an instance that is leaving does.
    refuse: bool = False
    #: Refuse with HTTP 429 instead of queueing when every slot is taken.
    refuse_when_full: bool = False
    #: Seconds before a request is looked at.
    delay: float = 0.0
    #: Tokens after which streams produce nothing more; None for no such fault.
    stall_after: int | None = None
    #: Tokens after which the connection is closed; None for no such fault.
    break_after: int | None = None
    #: Tokens added to the reported usage.
    excess_usage: int = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine some time ago."""

    #: Name of the engine.
    name: str
    #: Requests that hold a slot.
    running: int
    #: Requests in the engine's queue.
    waiting: int
    #: Share of the prefix cache that is taken, from 0 to 1.
    cache_use: float
    #: Role in force.
    role: str
    #: Versions by name of model.
    models: dict[str, str]


class Crashed(Exception):
    """The engine crashed while the request was in it."""


class ConnectionBroken(Exception):
    """The fault that closes connections in mid-stream struck."""


class Engine:
    """Generates answers under the limits and faults of its settings.

    Parameters
    ----------
    settings : EngineSettings
        Size and speed.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.switches = EngineSwitches()
        self.assignment = Assignment(settings.models, settings.checks_fencing)
        self.log = RequestLog()
        self.batch = Batch(settings.concurrency)
        self._cache = PrefixCache(settings.cache_blocks)
        self._crashes = 0
        self._report: tuple[float, LoadReport] | None = None

    @property
    def records(self) -> EngineRecords:
        """Everything that the engine has seen."""
        return EngineRecords(
            self.settings.name, self.log.records, self.assignment.applied
        )

    def open_record(self, chat: ChatRequest, request_id: str, organisation: str) -> int:
        """Note the arrival of a request and return the number of its record."""
        return self.log.open(
            RequestRecord(
                request_id,
                organisation,
                chat.model,
                digest_prompt(chat.prompt),
                chat.prompt_tokens,
            )
        )

    def count_answer_tokens(self, chat: ChatRequest) -> int:
        """Return the number of tokens that the answer will have."""
        limit = chat.token_limit
        natural = self.settings.answer_tokens
        return natural if limit is None else min(limit, natural)

    def report_load(self, now: float) -> LoadReport:
        """Return a load report that may be as old as the settings allow."""
        if self._report is None or now - self._report[0] >= self.settings.load_lag:
            self._report = (now, self._measure_load())
        return self._report[1]

    async def generate(self, chat: ChatRequest, number: int) -> AsyncIterator[str]:
        """Yield the tokens of the answer, at the engine's speed.

        Parameters
        ----------
        chat : ChatRequest
            The request.
        number : int
            Number of its record.

        Raises
        ------
        Crashed
            If the engine crashes meanwhile.
        ConnectionBroken
            If the fault that closes connections strikes.
        """
        try:
            async for token in self._run(chat, number):
                yield token
        except (asyncio.CancelledError, GeneratorExit, ConnectionBroken):
            self.log.change(number, state=RequestState.CANCELLED)
            raise
        except Crashed:
            self.log.change(number, state=RequestState.CRASHED)
            raise
        self.log.change(number, state=RequestState.FINISHED)

    async def _run(self, chat: ChatRequest, number: int) -> AsyncIterator[str]:
        crashes = self._crashes
        async with self.batch.hold_slot(chat.priority):
            self._raise_if_crashed(crashes)
            self.log.change(number, state=RequestState.RUNNING)
            await self._prefill(chat, number)
            tokens = compose_answer(chat.prompt, self.count_answer_tokens(chat))
            for position, token in enumerate(tokens):
                await self._show_stream_faults(position)
                await asyncio.sleep(self.settings.token_interval)
                self._raise_if_crashed(crashes)
                self.log.count_token(number)
                yield token

    async def _prefill(self, chat: ChatRequest, number: int) -> None:
        marker = self.settings.crash_marker
        if marker and marker in chat.prompt:
            self._crash()
        cached = self._cache.take_cached_tokens(chat.prompt)
        self.log.change(number, cached_tokens=cached)
        fresh = max(0, chat.prompt_tokens - cached)
        await asyncio.sleep(fresh * self.settings.prefill_per_token)

    async def _show_stream_faults(self, position: int) -> None:
        if self.switches.break_after == position:
            raise ConnectionBroken
        while self.switches.stall_after == position:
            await asyncio.sleep(self.settings.token_interval)

    def _crash(self) -> None:
        if self.settings.crash_mode is CrashMode.EXIT:
            os._exit(CRASH_STATUS)
        self._crashes += 1
        self._cache.clear()
        raise Crashed

    def _raise_if_crashed(self, crashes: int) -> None:
        if self._crashes != crashes:
            raise Crashed

    def _measure_load(self) -> LoadReport:
        return LoadReport(
            name=self.settings.name,
            running=self.batch.running,
            waiting=self.batch.waiting,
            cache_use=self._cache.use,
            role=self.assignment.role,
            models=self.assignment.models,
        )
