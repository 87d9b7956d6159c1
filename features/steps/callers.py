"""Steps in which callers send requests."""

import asyncio

from behave import when

#: Period in which a caller retries, in seconds.
RETRY_TIMEOUT = 10.0


@when('{organisation} sends request "{name}" of {tokens:d} tokens to daemon {number:d}')
def send_request(context, organisation, name, tokens, number):
    world = context.world
    call = world.make_call(organisation, tokens, name=name)
    world.results[name] = world.run(world.send(call, world.get_daemon(number)))


@when(
    '{organisation} starts a stream "{name}" of {tokens:d} tokens'
    " through daemon {number:d}"
)
def start_stream(context, organisation, name, tokens, number):
    world = context.world
    call = world.make_call(organisation, tokens, stream=True, name=name)
    world.start_request(name, call, world.get_daemon(number))
    world.sleep(0.6)


@when("{organisation} sends {count:d} requests of {tokens:d} tokens to every daemon")
def send_many(context, organisation, count, tokens):
    world = context.world
    calls = [
        world.send(
            world.make_call(organisation, tokens, stream=number % 2 == 0), daemon
        )
        for number in range(count)
        for daemon in world.list_serving_daemons()
    ]
    world.batch_results = world.run(_gather_results(calls))


async def _gather_results(calls):
    return await asyncio.gather(*calls)


@when('{organisation} places order "{key}" through daemon {number:d}')
def place_order(context, organisation, key, number):
    world = context.world
    world.results[key] = world.place_order(organisation, key, world.get_daemon(number))


@when(
    '{organisation} sends requests "{prefix}-1" to "{last}" of {tokens:d} tokens'
    " to daemon {number:d}"
)
def send_numbered(context, organisation, prefix, last, tokens, number):
    world = context.world
    count = int(last.removeprefix(f"{prefix}-"))
    calls = [
        world.make_call(organisation, tokens, name=f"{prefix}-{index}")
        for index in range(1, count + 1)
    ]
    daemon = world.get_daemon(number)
    world.batch_results = [world.run(world.send(call, daemon)) for call in calls]


@when(
    '{organisation} sends request "{name}" of {tokens:d} tokens to daemon {number:d}'
    " again for as long as it is told to"
)
def send_with_retries(context, organisation, name, tokens, number):
    """Retry while the request is refused as not_run with a Retry-After header."""
    world = context.world
    call = world.make_call(organisation, tokens, name=name)
    deadline = world.loop.time() + RETRY_TIMEOUT
    while True:
        result = world.run(world.send(call, world.get_daemon(number)))
        world.results[name] = result
        may_retry = result.execution == "not_run" and result.retry_after
        if not may_retry or world.loop.time() > deadline:
            return
        world.sleep(float(result.retry_after))
