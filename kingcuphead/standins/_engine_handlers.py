"""HTTP handlers of the stand-in engine."""

import asyncio
import time
import uuid
from collections.abc import Iterator

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import HTTPError

from kingcuphead.standins._engine import (
    ConnectionBroken,
    Crashed,
    Engine,
    EngineSwitches,
)
from kingcuphead.standins._engine_orders import Order
from kingcuphead.standins._engine_records import RequestState
from kingcuphead.standins._serving import StandInHandler
from kingcuphead.standins.chat import (
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    Answer,
    AnswerChoice,
    AnswerMessage,
    ChatRequest,
    Chunk,
    ChunkChoice,
    Delta,
    StreamOptions,
    Usage,
)

#: Last event of every whole stream.
DONE_EVENT = b"data: [DONE]\n\n"


class EngineHandler(StandInHandler):
    """Handler that knows its engine."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine shared by all handlers."""
        self.engine = engine


class ChatHandler(EngineHandler):
    """Chat completions, streamed or whole."""

    work: asyncio.Task[None] | None = None

    async def post(self) -> None:
        """Generate an answer; a caller that hangs up cancels it."""
        self.work = asyncio.ensure_future(self._respond())
        try:
            await self.work
        except (Crashed, ConnectionBroken):
            self.drop_connection()
        except (asyncio.CancelledError, StreamClosedError):
            return

    def on_connection_close(self) -> None:
        """Cancel the generation."""
        if self.work is not None:
            self.work.cancel()

    async def _respond(self) -> None:
        chat = self.decode(ChatRequest)
        headers = self.request.headers
        number = self.engine.open_record(
            chat,
            headers.get(REQUEST_ID_HEADER, ""),
            headers.get(ORGANISATION_HEADER, ""),
        )
        await asyncio.sleep(self.engine.switches.delay)
        try:
            self._admit(chat)
        except HTTPError:
            self.engine.log.change(number, state=RequestState.REFUSED)
            raise
        respond = self._stream if chat.stream else self._answer_whole
        await respond(chat, number)

    def _admit(self, chat: ChatRequest) -> None:
        switches = self.engine.switches
        if switches.refuse:
            raise HTTPError(503, reason="leaving")
        if chat.model not in self.engine.assignment.models:
            raise HTTPError(404, reason="model not found")
        if switches.refuse_when_full and self.engine.batch.is_full:
            raise HTTPError(429, reason="every slot is taken")

    async def _answer_whole(self, chat: ChatRequest, number: int) -> None:
        tokens = [token async for token in self.engine.generate(chat, number)]
        message = AnswerMessage("".join(tokens))
        choice = AnswerChoice(message, self._get_finish_reason(chat))
        self.answer(
            Answer(
                id=_make_id(),
                model=chat.model,
                choices=(choice,),
                usage=self._make_usage(chat, len(tokens)),
                created=int(time.time()),
            )
        )

    async def _stream(self, chat: ChatRequest, number: int) -> None:
        self.set_header("Content-Type", "text/event-stream")
        options = chat.stream_options or StreamOptions()
        template = _make_template(chat)
        count = 0
        async for token in self.engine.generate(chat, number):
            count += 1
            delta = Delta("assistant" if count == 1 else None, token)
            usage = self._make_usage(chat, count)
            self._write_chunk(
                msgspec.structs.replace(
                    template,
                    choices=(ChunkChoice(delta),),
                    usage=usage if options.continuous_usage_stats else None,
                )
            )
            await self.flush()
        for chunk in self._make_last_chunks(chat, template, options, count):
            self._write_chunk(chunk)
        self.write(DONE_EVENT)
        await self.finish()

    def _make_last_chunks(
        self, chat: ChatRequest, template: Chunk, options: StreamOptions, count: int
    ) -> Iterator[Chunk]:
        usage = self._make_usage(chat, count)
        ending = ChunkChoice(Delta(), self._get_finish_reason(chat))
        yield msgspec.structs.replace(
            template,
            choices=(ending,),
            usage=usage if options.continuous_usage_stats else None,
        )
        if options.include_usage:
            yield msgspec.structs.replace(template, usage=usage)

    def _write_chunk(self, chunk: Chunk) -> None:
        self.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")

    def _make_usage(self, chat: ChatRequest, count: int) -> Usage:
        generated = count + self.engine.switches.excess_usage
        return Usage(chat.prompt_tokens, generated, chat.prompt_tokens + generated)

    def _get_finish_reason(self, chat: ChatRequest) -> str:
        limit = chat.token_limit
        natural = self.engine.settings.answer_tokens
        return "length" if limit is not None and limit < natural else "stop"


class ModelEntry(msgspec.Struct, frozen=True):
    """One model in the list."""

    #: Name of the model.
    id: str
    #: Version that is served.
    version: str
    #: Owner, as the API wants one.
    owned_by: str
    #: Kind of object.
    object: str = "model"
    #: Seconds since the epoch.
    created: int = 0


class ModelList(msgspec.Struct, frozen=True):
    """The models that an engine serves."""

    #: The models.
    data: tuple[ModelEntry, ...]
    #: Kind of object.
    object: str = "list"


class ModelsHandler(EngineHandler):
    """The models that the engine serves."""

    def get(self) -> None:
        """List the models."""
        name = self.engine.settings.name
        models = self.engine.assignment.models.items()
        self.answer(ModelList(tuple(ModelEntry(k, v, name) for k, v in models)))


class LoadHandler(EngineHandler):
    """Load reports."""

    def get(self) -> None:
        """Show a load report."""
        self.answer(self.engine.report_load(time.monotonic()))


class OrdersHandler(EngineHandler):
    """Orders with fencing numbers."""

    def post(self) -> None:
        """Carry out an order."""
        result = self.engine.assignment.apply(self.decode(Order))
        if result.is_error():
            raise HTTPError(409, reason=result.error.message)
        self.answer(result.ok)


class EngineSwitchesHandler(EngineHandler):
    """The control of faults."""

    def get(self) -> None:
        """Show the switches."""
        self.answer(self.engine.switches)

    def post(self) -> None:
        """Set the switches; those not named are reset."""
        self.engine.switches = self.decode(EngineSwitches)
        self.answer(self.engine.switches)


class EngineRecordsHandler(EngineHandler):
    """What the engine has seen."""

    def get(self) -> None:
        """Show the records."""
        self.answer(self.engine.records)


def _make_id() -> str:
    return f"chatcmpl-{uuid.uuid4().hex}"


def _make_template(chat: ChatRequest) -> Chunk:
    return Chunk(
        id=_make_id(),
        model=chat.model,
        choices=(),
        created=int(time.time()),
        object="chat.completion.chunk",
    )
