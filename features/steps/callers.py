"""Steps of callers."""

import asyncio

from behave import when

#: Seconds in which a caller comes back as told.
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
    world.begin(name, call, world.get_daemon(number))
    world.sleep(0.6)


@when("{organisation} sends {count:d} requests of {tokens:d} tokens to every daemon")
def send_many(context, organisation, count, tokens):
    world = context.world
    calls = [
        world.send(
            world.make_call(organisation, tokens, stream=number % 2 == 0), daemon
        )
        for number in range(count)
        for daemon in world.list_serving()
    ]
    world.batch = world.run(_gather(calls))


async def _gather(calls):
    return await asyncio.gather(*calls)


@when('{organisation} places order "{key}" through daemon {number:d}')
def place_order(context, organisation, key, number):
    world = context.world
    world.results[key] = world.order(organisation, key, world.get_daemon(number))


@when(
    '{organisation} sends requests "{prefix}-1" to "{last}" of {tokens:d} tokens'
    " to daemon {number:d}"
)
def send_numbered(context, organisation, prefix, last, tokens, number):
    world = context.world
    count = int(last.removeprefix(f"{prefix}-"))
    calls = [
        world.make_call(organisation, tokens, name=f"{prefix}-{each}")
        for each in range(1, count + 1)
    ]
    daemon = world.get_daemon(number)
    world.batch = [world.run(world.send(call, daemon)) for call in calls]


@when(
    '{organisation} sends request "{name}" of {tokens:d} tokens to daemon {number:d}'
    " again for as long as it is told to"
)
def send_again(context, organisation, name, tokens, number):
    """Repeat a refusal that is not run and names a time to come back."""
    world = context.world
    call = world.make_call(organisation, tokens, name=name)
    deadline = world.loop.time() + RETRY_TIMEOUT
    while True:
        result = world.run(world.send(call, world.get_daemon(number)))
        world.results[name] = result
        told = result.execution == "not_run" and result.retry_after
        if not told or world.loop.time() > deadline:
            return
        world.sleep(float(result.retry_after))
