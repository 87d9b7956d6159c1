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
QUEUE_FULL = Verdict(Execution.NOT_RUN, Reason.QUEUE_FULL, "queue is full", 0.01)
TARGET_DIED = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "target died", 0.01)
EXHAUSTED = Verdict(Execution.NOT_RUN, Reason.BUDGET_EXHAUSTED, "budget is spent")


def make_payload(text, finish_reason=None, **fields):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
    body = {"id": "c", "object": "chat.completion.chunk", "created": 1}
    return json.dumps(
        {**body, "model": "frame", "choices": [choice], **fields}
    ).encode()


PAYLOADS = [
    make_payload("Frame "),
    make_payload("holds."),
    make_payload("", "stop"),
    make_payload(
        "",
        choices=[],
        usage={"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5},
    ),
]


class ChatHandler(RequestHandler):
    """Returns an answer, or the failure that the prompt names."""

    def initialize(self, received):
        self.received = received

    def post(self):
        self.received.append(self.request.headers)
        checked = identify_caller(
            self.request.headers, KeyIndex.build(CONFIGURATION)
        ).bind(
            lambda _: parse_chat(self.request.body, self.request.headers, ApiLimits())
        )
        if checked.is_error():
            return self.refuse(checked.error)
        prompt = json.loads(self.request.body)["messages"][0]["content"]
        match prompt:
            case "busy once" if len(self.received) == 1:
                return self.refuse(QUEUE_FULL)
            case "busy":
                return self.refuse(QUEUE_FULL)
            case "dies":
                return self.refuse(TARGET_DIED)
            case "exhausted":
                return self.refuse(EXHAUSTED)
        if not checked.ok.stream:
            return self.finish(assemble_answer(PAYLOADS).ok)
        if prompt == "breaks":
            self.write(encode_event(PAYLOADS[0]))
            return self.finish(encode_error_event(TARGET_DIED, "r-1"))
        return self.finish(b"".join(map(encode_event, PAYLOADS)) + DONE_EVENT)

    def refuse(self, verdict):
        refusal = describe_refusal(verdict, "r-1")
        self.set_status(refusal.status)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.finish(refusal.body)


class ModelsHandler(RequestHandler):
    def get(self):
        self.finish(encode_models(CONFIGURATION, ATLAS))


def run_scenario(scenario, key="k"):
    """Run a scenario with a client.

    Returns its result and the headers of each request that the server received.
    """
    received: list[httputil.HTTPHeaders] = []

    async def main():
        server = HTTPServer(
            Application(
                [
                    (r"/v1/chat/completions", ChatHandler, {"received": received}),
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

    return asyncio.run(main()), received


async def request_completion(client, prompt="Does it hold?", **fields):
    return await client.chat.completions.create(
        model="frame", messages=[{"role": "user", "content": prompt}], **fields
    )


async def collect_stream(client, prompt, **fields):
    """Return the text of a stream, the error that ended it and its last chunk."""
    text = ""
    last = None
    with contextlib.suppress(StopAsyncIteration):
        try:
            async for chunk in await request_completion(
                client, prompt, stream=True, **fields
            ):
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

        assert run_scenario(scenario)[0] == ["frame"]

    def test_unstreamed(self):
        answer, _ = run_scenario(request_completion)
        (choice,) = answer.choices
        assert (choice.message.content, choice.finish_reason) == (
            "Frame holds.",
            "stop",
        )
        assert (answer.object, answer.usage.total_tokens) == ("chat.completion", 5)

    def test_streamed(self):
        async def scenario(client):
            options = {"include_usage": True}
            return await collect_stream(client, "Does it hold?", stream_options=options)

        (text, error, last), _ = run_scenario(scenario)
        assert (text, error) == ("Frame holds.", None)
        assert last.usage.completion_tokens == 2

    def test_error_event_in_a_stream_raises_with_the_verdict(self):
        (text, error, _), received = run_scenario(
            lambda client: collect_stream(client, "breaks")
        )
        assert text == "Frame "
        assert error.body["execution"] == "may_have_run"
        assert (error.body["reason"], error.body["request_id"]) == (
            "target_failed",
            "r-1",
        )
        assert len(received) == 1

    def test_request_that_did_not_run_is_retried_if_offered(self):
        answer, received = run_scenario(
            lambda client: request_completion(client, "busy once")
        )
        assert answer.choices[0].message.content == "Frame holds."
        assert len(received) == 2

    @pytest.mark.parametrize(
        ("prompt", "error_type", "request_count"),
        [
            ("busy", openai.RateLimitError, 3),
            ("exhausted", openai.RateLimitError, 1),
            ("dies", openai.InternalServerError, 1),
        ],
    )
    def test_refusal(self, prompt, error_type, request_count):
        async def scenario(client):
            with pytest.raises(error_type) as raised:
                await request_completion(client, prompt)
            return raised.value

        error, received = run_scenario(scenario)
        assert len(received) == request_count
        assert error.request_id == "r-1"
        execution = error.body["execution"].replace("_", " ")
        assert error.message.endswith(f"({execution})")
        assert error.code == error.body["reason"]

    @pytest.mark.parametrize(
        ("key", "fields", "error_type"),
        [
            ("wrong", {}, openai.AuthenticationError),
            ("k", {"n": 2}, openai.BadRequestError),
            ("k", {"extra_body": {"beams": 2}}, openai.BadRequestError),
        ],
    )
    def test_client_errors_are_not_retried(self, key, fields, error_type):
        async def scenario(client):
            with pytest.raises(error_type):
                await request_completion(client, **fields)

        _, received = run_scenario(scenario, key)
        assert len(received) == 1
