"""Steps in which a caller uses the unmodified `openai` client."""

import asyncio

import openai
from behave import then

from kingcuphead.localfleet import ChatCall

MODEL = "plan-review"
PROMPT = "Question of the client"


def make_client(context, number, key):
    url = f"{context.world.get_daemon(number).caller_url}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def run_in_thread(context, function):
    """Run a blocking client call in a thread, so that the event loop keeps running."""
    return context.world.run(asyncio.to_thread(function))


def request_completion(client, model=MODEL, **options):
    messages = [{"role": "user", "content": PROMPT}]
    return client.chat.completions.create(
        model=model, messages=messages, max_tokens=8, **options
    )


def assert_answers_prompt(context, organisation, text):
    owner = context.world.organisations[organisation]
    expected = ChatCall(owner, "", PROMPT).digest
    assert text.startswith(expected), (expected, text)


@then("the openai client lists the models of {organisation} at daemon {number:d}")
def check_models(context, organisation, number):
    client = make_client(context, number, context.world.organisations[organisation].key)
    models = run_in_thread(
        context, lambda: [model.id for model in client.models.list()]
    )
    assert models == [MODEL], models


@then("the openai client gets a whole answer for {organisation} from daemon {number:d}")
def check_answer(context, organisation, number):
    client = make_client(context, number, context.world.organisations[organisation].key)
    answer = run_in_thread(context, lambda: request_completion(client))
    assert_answers_prompt(context, organisation, answer.choices[0].message.content)
    assert answer.usage.completion_tokens == 8, answer.usage


@then("the openai client gets a whole stream for {organisation} from daemon {number:d}")
def check_stream(context, organisation, number):
    client = make_client(context, number, context.world.organisations[organisation].key)
    chunks = run_in_thread(
        context, lambda: list(request_completion(client, stream=True))
    )
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert_answers_prompt(context, organisation, text)
    assert chunks[-1].choices[0].finish_reason == "length", chunks[-1]


@then("the openai client sees that {organisation} may not use model {model}")
def check_refusal(context, organisation, model):
    client = make_client(context, 1, context.world.organisations[organisation].key)
    try:
        run_in_thread(context, lambda: request_completion(client, model))
    except openai.PermissionDeniedError as error:
        assert error.code == "model_not_allowed", error.body
        assert error.body["execution"] == "not_run", error.body
    else:
        raise AssertionError("the client saw no refusal")


@then("the openai client sees that the key {key} is not known")
def check_unknown_key(context, key):
    client = make_client(context, 1, key)
    try:
        run_in_thread(context, lambda: request_completion(client))
    except openai.AuthenticationError as error:
        assert error.body["execution"] == "not_run", error.body
    else:
        raise AssertionError("the client saw no refusal")
