"""Steps with invalid, aborted and failing requests."""

import asyncio
import json

from behave import then, when

from features.world import CONDITION_TIMEOUT
from kingcuphead.localfleet import LOOPBACK, read_executions

CHAT_PATH = "/v1/chat/completions"
#: Number of events that a caller reads before it disconnects, one token each.
EVENTS_BEFORE_DISCONNECT = 20


@when('{organisation} hangs up during a stream "{name}" through daemon {number:d}')
def disconnect_during_stream(context, organisation, name, number):
    world = context.world
    call = world.make_call(organisation, 300, stream=True, name=name)
    world.run(_disconnect_during_stream(call, world.get_daemon(number)))


async def _disconnect_during_stream(call, daemon):
    headers = call.headers | {"Host": LOOPBACK, "Content-Length": str(len(call.body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    reader, writer = await asyncio.open_connection(LOOPBACK, daemon.caller_port)
    writer.write(f"POST {CHAT_PATH} HTTP/1.1\r\n{head}\r\n".encode() + call.body)
    for _ in range(EVENTS_BEFORE_DISCONNECT):
        await reader.readuntil(b"data: ")
    writer.close()
    await writer.wait_closed()


async def find_executions(world, name):
    killed = frozenset(world.killed_engines)
    executions = await read_executions(world.fleet.client, world.fleet.plan, killed)
    return [each for each in executions if each.request_id == name]


@then('the engine has cancelled "{name}"')
def check_cancelled(context, name):
    world = context.world

    async def is_cancelled():
        found = await find_executions(world, name)
        return [each.state for each in found] == ["cancelled"]

    world.run(world.wait_until(is_cancelled))


@then('no more than was generated is billed for "{name}"')
def check_partial_bill(context, name):
    world = context.world

    async def list_bills():
        budgets = (await world.collect_evidence()).budgets
        bills = [bill for budget in budgets for bill in budget.bills]
        return [bill.tokens for bill in bills if bill.request_id == name]

    async def is_billed():
        return bool(await list_bills())

    world.run(world.wait_until(is_billed))
    (billed,) = world.run(list_bills())
    (execution,) = world.run(find_executions(world, name))
    assert EVENTS_BEFORE_DISCONNECT <= billed <= execution.tokens, (billed, execution)


@then("these requests to daemon {number:d} are answered so")
def check_answers(context, number):
    world = context.world
    for row in context.table:
        reply = world.run(_send_row(world, world.get_daemon(number), row))
        error = reply.decode().get("error", {})
        found = (reply.status, error.get("reason", ""), error.get("execution", ""))
        expected = (int(row["status"]), row["reason"], row["execution"])
        assert found == expected, (row, reply)
        assert reply.headers.get("X-Request-Id"), (row, reply)


async def _send_row(world, daemon, row):
    headers = {
        "Authorization": f"Bearer {row['key']}",
        "Content-Type": "application/json",
    }
    body = REQUEST_BODIES[row["body"]]
    return await world.fleet.client.post(daemon.caller_url + row["path"], body, headers)


def _make_body(**changes):
    content = {
        "model": "plan-review",
        "messages": [{"role": "user", "content": "A question"}],
        "max_tokens": 4,
    }
    content |= changes
    present = {name: value for name, value in content.items() if value is not None}
    return json.dumps(present).encode()


REQUEST_BODIES = {
    "correct": _make_body(),
    "cut off": _make_body()[:-9],
    "other model": _make_body(model="unheard-of"),
    "unknown field": _make_body(colour="red"),
    "wrong type": _make_body(max_tokens="four"),
    "without max_tokens": _make_body(max_tokens=None),
}


@when('the engine that runs "{name}" is killed')
def kill_running_engine(context, name):
    world = context.world

    async def find_targets():
        found = await find_executions(world, name)
        return [each.target for each in found if each.state == "running"]

    async def is_running():
        return bool(await find_targets())

    world.run(world.wait_until(is_running))
    (target,) = world.run(find_targets())
    world.killed_engines.add(target)
    world.run(world.fleet.kill(target))


@when(
    '{organisation} starts request "{name}" of {tokens:d} tokens to daemon {number:d}'
)
def start_request(context, organisation, name, tokens, number):
    world = context.world
    call = world.make_call(organisation, tokens, name=name)
    world.start_request(name, call, world.get_daemon(number))
    world.sleep(0.6)


@then('"{name}" ends with an error that says {execution}, and without [DONE]')
def check_error_event(context, name, execution):
    result = context.world.get_result(name)
    assert result.text and result.status == 200, result
    assert result.execution == execution and not result.done, result


@then('request "{name}" reached {count:d} engines')
def check_engines(context, name, count):
    found = context.world.run(find_executions(context.world, name))
    assert len({each.target for each in found}) == count, found


@when("{organisation} announces a body of {size:d} bytes to daemon {number:d}")
def announce_body(context, organisation, size, number):
    world = context.world
    key = world.organisations[organisation].key
    world.raw_response = world.run(_send_head(key, size, world.get_daemon(number)))


async def _send_head(key, size, daemon):
    """Send the head of a request without its body and return the response as text."""
    lines = (
        f"POST {CHAT_PATH} HTTP/1.1",
        f"Host: {LOOPBACK}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {size}",
    )
    reader, writer = await asyncio.open_connection(LOOPBACK, daemon.caller_port)
    writer.write("".join(f"{line}\r\n" for line in (*lines, "")).encode())
    response = await asyncio.wait_for(reader.read(), CONDITION_TIMEOUT)
    writer.close()
    return response.decode()


@then("the answer is {status:d} because of {reason}")
def check_raw_response(context, status, reason):
    response = context.world.raw_response
    assert response.startswith(f"HTTP/1.1 {status} "), response
    error = json.loads(response.partition("\r\n\r\n")[2])["error"]
    assert (error["reason"], error["execution"]) == (reason, "not_run"), error


@then('request "{name}" was sent once to each engine')
def check_sent_once(context, name):
    found = context.world.run(find_executions(context.world, name))
    targets = [each.target for each in found]
    assert len(targets) == len(set(targets)), found


@then(
    "daemon {number:d} answers {count:d} bodies of {size:d} bytes by {organisation}"
    " with status {status:d}"
)
def check_bodies(context, number, count, size, organisation, status):
    world = context.world
    url = world.get_daemon(number).caller_url + CHAT_PATH
    headers = {"Authorization": f"Bearer {world.organisations[organisation].key}"}
    replies = [
        world.run(world.fleet.client.post(url, b"x" * size, headers))
        for _ in range(count)
    ]
    statuses = [reply.status for reply in replies]
    assert statuses == [status] * count, [(r.status, r.body[:80]) for r in replies]
