"""Steps of operators, who use the command-line tool as a process."""

import asyncio
import hashlib
import json
import re
import tempfile
from pathlib import Path

from behave import then, when

from features.world import make_organisation
from kingcuphead.localfleet import OPERATOR_TOKEN, run_command

OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
#: Seconds in which an accepted change is in force on every daemon.
FORCE_TIMEOUT = 5.0
#: Looks, 0.1 s apart, at a state that must not change back.
STEADY_LOOKS = 15


@when('an operator runs "{text}" through daemon {number:d}')
def run_tool(context, text, number):
    context.world.command = context.world.operate(number, text)


@when("an operator applies these records through daemon {number:d}")
def apply_records(context, number):
    digest = hashlib.sha256(b"key-novak").hexdigest()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "records.json"
        path.write_text(context.text.replace("DIGEST", digest))
        context.world.command = context.world.operate(number, f"record apply {path}")


@when("two operators set the deadline of class {name} on the same revision")
def race(context, name):
    world = context.world
    shown = world.operate(1, f"--json class show {name}").decode()
    revision = str(shown["revision"])

    async def run_both():
        commands = [
            run_command(
                world.get_daemon(number),
                ("--author", author, "class", "change", name, "--revision", revision)
                + ("--deadline", str(20 + number)),
            )
            for number, author in ((1, "anna"), (2, "bojan"))
        ]
        return await asyncio.gather(*commands)

    world.batch = world.run(run_both())


@then("one command ends with code 0, the other with code 3 and names the first")
def check_race(context):
    codes = [result.code for result in context.world.batch]
    assert sorted(codes) == [0, 3], context.world.batch
    winner = ("anna", "bojan")[codes.index(0)]
    assert winner in context.world.batch[codes.index(3)].error, context.world.batch


@then("the command ends with code {code:d}")
def check_code(context, code):
    assert context.world.command.code == code, context.world.command


@then('the command says "{text}"')
def check_text(context, text):
    command = context.world.command
    assert text in command.output + command.error, command


@then('the command does not say "{text}"')
def check_no_text(context, text):
    command = context.world.command
    assert text not in command.output + command.error, command


@then("the accepted revision is in force on every daemon within 5 seconds")
def check_revision(context):
    world = context.world
    revision = int(re.search(r"revision (\d+)", world.command.output).group(1))

    async def is_in_force():
        replies = [
            await world.fleet.client.get(
                f"http://{daemon.operator_address}/revision", OPERATOR_HEADERS
            )
            for daemon in world.list_serving()
        ]
        return all(reply.decode()["revision"] >= revision for reply in replies)

    world.run(world.wait_until(is_in_force, FORCE_TIMEOUT))


@then("every daemon answers {organisation} with status {status:d} within 5 seconds")
def check_status(context, organisation, status):
    world = context.world

    async def agrees():
        return await read_statuses(world, organisation) == {status}

    world.run(world.wait_until(agrees, FORCE_TIMEOUT))


@then("every daemon goes on answering {organisation} with status {status:d}")
def check_steady(context, organisation, status):
    world = context.world
    for _ in range(STEADY_LOOKS):
        found = world.run(read_statuses(world, organisation))
        assert found == {status}, found
        world.sleep(0.1)


async def read_statuses(world, organisation):
    """Return the statuses that the daemons give to an organisation's key."""
    headers = {"Authorization": f"Bearer key-{organisation}"}
    return {
        (await world.fleet.client.get(f"{daemon.caller_url}/v1/models", headers)).status
        for daemon in world.list_serving()
    }


@when("{name} is a new organisation")
def add_organisation(context, name):
    context.world.organisations[name] = make_organisation(name, 1000)


@then("the history holds change {id_} once")
def check_history(context, id_):
    command = context.world.operate(1, "--json history")
    found = [change for change in json.loads(command.output) if change["id"] == id_]
    assert len(found) == 1, command


@then("the spend of {organisation} is the sum of its bills")
def check_spend(context, organisation):
    world = context.world

    async def agrees():
        result = await run_command(
            world.get_daemon(1), ("--json", "spend", organisation)
        )
        budgets = {budget.name: budget for budget in (await world.collect()).budgets}
        billed = sum(bill.tokens for bill in budgets[organisation].bills)
        return result.decode()[0]["settled"] == billed > 0

    world.run(world.wait_until(agrees))


@then("budget {name} has a limit of {tokens:d} tokens")
def check_limit(context, name, tokens):
    budgets = context.world.run(context.world.collect()).budgets
    assert [budget.limit for budget in budgets if budget.name == name] == [tokens], (
        budgets
    )


@when("an operator releases the grants of daemon {holder:d} in {budget}")
def release_grants(context, holder, budget):
    world = context.world
    name = world.get_daemon(holder).name
    shown = world.operate(1, f"--json grants {budget}").decode()
    grants = [each["grant_id"] for each in shown if each["holder"] == name]
    assert grants, shown
    for grant in grants:
        world.command = world.operate(1, f"release {budget} {grant}")


@then("{budget} has an unattributed charge of daemon {holder:d}")
def check_unattributed(context, budget, holder):
    world = context.world
    name = world.get_daemon(holder).name

    async def is_shown():
        result = await run_command(
            world.get_daemon(1), ("--json", "unattributed", budget)
        )
        return name in {each["holder"] for each in result.decode()}

    world.run(world.wait_until(is_shown))


@then("{budget} has no grant of daemon {holder:d}")
def check_no_grant(context, budget, holder):
    world = context.world
    shown = world.operate(1, f"--json grants {budget}").decode()
    name = world.get_daemon(holder).name
    assert all(each["holder"] != name for each in shown), shown


@then("the operators' port of daemon {number:d} refuses {organisation}'s key")
def check_operator_port(context, number, organisation):
    world = context.world
    address = world.get_daemon(number).operator_address
    headers = {"Authorization": f"Bearer key-{organisation}"}
    for path in ("budgets", "records/organisation", "metrics", "revision"):
        reply = world.run(world.fleet.client.get(f"http://{address}/{path}", headers))
        assert reply.status in (401, 403), (path, reply)


@then("the callers' port of daemon {number:d} refuses the operators' token")
def check_caller_port(context, number):
    world = context.world
    url = f"{world.get_daemon(number).caller_url}/v1/models"
    reply = world.run(world.fleet.client.get(url, OPERATOR_HEADERS))
    assert reply.status == 401, reply


@then("daemon {number:d} says that it is not ready while it still runs")
def check_not_ready(context, number):
    world = context.world
    daemon = world.get_daemon(number)
    url = f"http://{daemon.operator_address}/readyz"

    async def is_closing():
        return (await world.fleet.client.get(url)).status == 503

    world.run(world.wait_until(is_closing, FORCE_TIMEOUT))
    assert world.fleet.get_process(daemon.name).running


@when("the settings are checked")
def check_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "daemon.ini"
        path.write_text(context.text)
        context.world.command = context.world.check_settings(path)
