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

#: Event that terminates every complete stream.
DONE_EVENT = b"data: [DONE]\n\n"


class EngineHandler(StandInHandler):
    """Base class of the handlers, with access to the engine."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine, which all handlers share."""
        self.engine = engine


class ChatHandler(EngineHandler):
    """Endpoint for chat completions, streamed or not."""

    task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        """Generate an answer, until it is complete or the caller disconnects."""
        self.task = asyncio.ensure_future(self._respond())
        try:
            await self.task
        except (Crashed, ConnectionBroken):
            self.drop_connection()
        except (asyncio.CancelledError, StreamClosedError):
            return

    def on_connection_close(self) -> None:
        """Cancel generation when the caller closes the connection."""
        if self.task is not None:
            self.task.cancel()

    async def _respond(self) -> None:
        chat = self.decode_body(ChatRequest)
        headers = self.request.headers
        record_index = self.engine.record_arrival(
            chat,
            headers.get(REQUEST_ID_HEADER, ""),
            headers.get(ORGANISATION_HEADER, ""),
        )
        await asyncio.sleep(self.engine.switches.delay)
        try:
            self._check_admission(chat)
        except HTTPError:
            self.engine.log.update(record_index, state=RequestState.REFUSED)
            raise
        send = self._stream_completion if chat.stream else self._send_completion
        await send(chat, record_index)

    def _check_admission(self, chat: ChatRequest) -> None:
        switches = self.engine.switches
        if switches.refuse:
            raise HTTPError(503, reason="leaving")
        if chat.model not in self.engine.assignment.models:
            raise HTTPError(404, reason="model not found")
        if switches.refuse_when_full and self.engine.batch.is_full:
            raise HTTPError(429, reason="every slot is taken")

    async def _send_completion(self, chat: ChatRequest, record_index: int) -> None:
        tokens = [token async for token in self.engine.generate(chat, record_index)]
        message = AnswerMessage("".join(tokens))
        choice = AnswerChoice(message, self._get_finish_reason(chat))
        self.send_json(
            Answer(
                id=_make_completion_id(),
                model=chat.model,
                choices=(choice,),
                usage=self._make_usage(chat, len(tokens)),
                created=int(time.time()),
            )
        )

    async def _stream_completion(self, chat: ChatRequest, record_index: int) -> None:
        self.set_header("Content-Type", "text/event-stream")
        options = chat.stream_options or StreamOptions()
        template = _make_chunk_template(chat)
        count = 0
        async for token in self.engine.generate(chat, record_index):
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
        for chunk in self._make_final_chunks(chat, template, options, count):
            self._write_chunk(chunk)
        self.write(DONE_EVENT)
        await self.finish()

    def _make_final_chunks(
        self, chat: ChatRequest, template: Chunk, options: StreamOptions, count: int
    ) -> Iterator[Chunk]:
        usage = self._make_usage(chat, count)
        final_choice = ChunkChoice(Delta(), self._get_finish_reason(chat))
        yield msgspec.structs.replace(
            template,
            choices=(final_choice,),
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
        default_length = self.engine.settings.answer_tokens
        return "length" if limit is not None and limit < default_length else "stop"


class ModelEntry(msgspec.Struct, frozen=True):
    """Entry of a model or adapter in `GET /v1/models`."""

    #: Name of the model or adapter.
    id: str
    #: Version that the engine serves.
    version: str
    #: Name of the engine; the OpenAI schema requires an owner.
    owned_by: str
    #: Object type in the OpenAI schema.
    object: str = "model"
    #: Creation time in seconds since the epoch; always 0.
    created: int = 0


class ModelList(msgspec.Struct, frozen=True):
    """Response body of `GET /v1/models`."""

    #: Models and adapters that the engine serves.
    data: tuple[ModelEntry, ...]
    #: Object type in the OpenAI schema.
    object: str = "list"


class ModelsHandler(EngineHandler):
    """Endpoint that lists the served models and adapters."""

    def get(self) -> None:
        """Return the served models and adapters."""
        name = self.engine.settings.name
        models = self.engine.assignment.models.items()
        self.send_json(ModelList(tuple(ModelEntry(k, v, name) for k, v in models)))


class LoadHandler(EngineHandler):
    """Endpoint for load reports."""

    def get(self) -> None:
        """Return the current load report."""
        self.send_json(self.engine.report_load(time.monotonic()))


class OrdersHandler(EngineHandler):
    """Endpoint for orders with fencing numbers."""

    def post(self) -> None:
        """Apply an order, or refuse it with HTTP 409 if its fencing number is stale."""
        result = self.engine.assignment.apply(self.decode_body(Order))
        if result.is_error():
            raise HTTPError(409, reason=result.error.message)
        self.send_json(result.ok)


class EngineSwitchesHandler(EngineHandler):
    """Endpoint that reads and sets the fault switches."""

    def get(self) -> None:
        """Return the switches."""
        self.send_json(self.engine.switches)

    def post(self) -> None:
        """Replace the switches; omitted ones return to their defaults."""
        self.engine.switches = self.decode_body(EngineSwitches)
        self.send_json(self.engine.switches)


class EngineRecordsHandler(EngineHandler):
    """Endpoint for the records of requests and orders."""

    def get(self) -> None:
        """Return the records."""
        self.send_json(self.engine.records)


def _make_completion_id() -> str:
    return f"chatcmpl-{uuid.uuid4().hex}"


def _make_chunk_template(chat: ChatRequest) -> Chunk:
    return Chunk(
        id=_make_completion_id(),
        model=chat.model,
        choices=(),
        created=int(time.time()),
        object="chat.completion.chunk",
    )
