import asyncio
import contextlib
import json

import openai
import pytest
from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from kingcuphead.api import (
    DONE_EVENT,
    ApiLimits,
    KeyIndex,
    assemble_answer,
    describe_refusal,
    digest_key,
    encode_error_event,
    encode_event,
    encode_models,
    identify_caller,
    parse_chat,
)
from kingcuphead.records import Configuration, Model, Organisation
from kingcuphead.verdict import Execution, Reason, Verdict

ATLAS = Organisation("atlas", (digest_key("k"),), "atlas", ("frame",))
CONFIGURATION = Configuration(
    organisations={"atlas": ATLAS}, models={"frame": Model("frame", ("1",), 100)}
)
BUSY = Verdict(Execution.NOT_RUN, Reason.QUEUE_FULL, "queue is full", 0.01)
DIED = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "target died", 0.01)
EXHAUSTED = Verdict(Execution.NOT_RUN, Reason.BUDGET_EXHAUSTED, "budget is spent")


def make_event(text, finish=None, **more):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    body = {"id": "c", "object": "chat.completion.chunk", "created": 1}
    return json.dumps({**body, "model": "frame", "choices": [choice], **more}).encode()


EVENTS = [
    make_event("Frame "),
    make_event("holds."),
    make_event("", "stop"),
    make_event(
        "",
        choices=[],
        usage={"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5},
    ),
]


class ChatHandler(RequestHandler):
    """Answers, or ends as the first word of the prompt says."""

    def initialize(self, seen):
        self.seen = seen

    def post(self):
        self.seen.append(self.request.headers)
        checked = identify_caller(
            self.request.headers, KeyIndex.build(CONFIGURATION)
        ).bind(
            lambda _: parse_chat(self.request.body, self.request.headers, ApiLimits())
        )
        if checked.is_error():
            return self.refuse(checked.error)
        words = json.loads(self.request.body)["messages"][0]["content"]
        match words:
            case "busy once" if len(self.seen) == 1:
                return self.refuse(BUSY)
            case "busy":
                return self.refuse(BUSY)
            case "dies":
                return self.refuse(DIED)
            case "exhausted":
                return self.refuse(EXHAUSTED)
        if not checked.ok.stream:
            return self.finish(assemble_answer(EVENTS).ok)
        if words == "breaks":
            self.write(encode_event(EVENTS[0]))
            return self.finish(encode_error_event(DIED, "r-1"))
        return self.finish(b"".join(map(encode_event, EVENTS)) + DONE_EVENT)

    def refuse(self, verdict):
        refusal = describe_refusal(verdict, "r-1")
        self.set_status(refusal.status)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.finish(refusal.body)


class ModelsHandler(RequestHandler):
    def get(self):
        self.finish(encode_models(CONFIGURATION, ATLAS))


def drive(scenario, key="k"):
    """Run a scenario with a client; return its result and the requests seen."""
    seen: list[httputil.HTTPHeaders] = []

    async def main():
        server = HTTPServer(
            Application(
                [
                    (r"/v1/chat/completions", ChatHandler, {"seen": seen}),
                    (r"/v1/models", ModelsHandler),
                ]
            )
        )
        server.listen(0, "127.0.0.1")
        (port,) = {s.getsockname()[1] for s in server._sockets.values()}
        async with openai.AsyncOpenAI(
            api_key=key, base_url=f"http://127.0.0.1:{port}/v1"
        ) as client:
            try:
                return await scenario(client)
            finally:
                server.stop()

    return asyncio.run(main()), seen


async def ask(client, words="Does it hold?", **fields):
    return await client.chat.completions.create(
        model="frame", messages=[{"role": "user", "content": words}], **fields
    )


async def collect(client, words, **fields):
    """Return the text that a stream gave and the error that ended it."""
    text = ""
    last = None
    with contextlib.suppress(StopAsyncIteration):
        try:
            async for chunk in await ask(client, words, stream=True, **fields):
                last = chunk
                for choice in chunk.choices:
                    text += choice.delta.content or ""
        except openai.APIError as error:
            return text, error, last
    return text, None, last


class TestOpenAiClient:
    def test_lists_models(self):
        async def scenario(client):
            return [model.id async for model in client.models.list()]

        assert drive(scenario)[0] == ["frame"]

    def test_unstreamed(self):
        answer, _ = drive(ask)
        (choice,) = answer.choices
        assert (choice.message.content, choice.finish_reason) == (
            "Frame holds.",
            "stop",
        )
        assert (answer.object, answer.usage.total_tokens) == ("chat.completion", 5)

    def test_streamed(self):
        async def scenario(client):
            options = {"include_usage": True}
            return await collect(client, "Does it hold?", stream_options=options)

        (text, error, last), _ = drive(scenario)
        assert (text, error) == ("Frame holds.", None)
        assert last.usage.completion_tokens == 2

    def test_a_stream_that_breaks_raises_with_the_verdict(self):
        (text, error, _), seen = drive(lambda client: collect(client, "breaks"))
        assert text == "Frame "
        assert error.body["execution"] == "may_have_run"
        assert (error.body["reason"], error.body["request_id"]) == (
            "target_failed",
            "r-1",
        )
        assert len(seen) == 1

    def test_a_request_that_did_not_run_is_retried_when_invited(self):
        answer, seen = drive(lambda client: ask(client, "busy once"))
        assert answer.choices[0].message.content == "Frame holds."
        assert len(seen) == 2

    @pytest.mark.parametrize(
        ("words", "kind", "requests"),
        [
            ("busy", openai.RateLimitError, 3),
            ("exhausted", openai.RateLimitError, 1),
            ("dies", openai.InternalServerError, 1),
        ],
    )
    def test_refusal(self, words, kind, requests):
        async def scenario(client):
            with pytest.raises(kind) as raised:
                await ask(client, words)
            return raised.value

        error, seen = drive(scenario)
        assert len(seen) == requests
        assert error.request_id == "r-1"
        execution = error.body["execution"].replace("_", " ")
        assert error.message.endswith(f"({execution})")
        assert error.code == error.body["reason"]

    @pytest.mark.parametrize(
        ("key", "fields", "kind"),
        [
            ("wrong", {}, openai.AuthenticationError),
            ("k", {"n": 2}, openai.BadRequestError),
            ("k", {"extra_body": {"beams": 2}}, openai.BadRequestError),
        ],
    )
    def test_faults_of_the_caller_are_not_retried(self, key, fields, kind):
        async def scenario(client):
            with pytest.raises(kind):
                await ask(client, **fields)

        _, seen = drive(scenario, key)
        assert len(seen) == 1
