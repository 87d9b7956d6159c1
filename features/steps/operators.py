"""Steps in which operators run the command-line tool as a process."""

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
#: Maximum time until an accepted change is in force on every daemon, in seconds.
PROPAGATION_TIMEOUT = 5.0
#: Number of checks, 0.1 s apart, that a state does not change back.
STEADY_CHECKS = 15


@when('an operator runs "{text}" through daemon {number:d}')
def run_command_line_tool(context, text, number):
    context.world.command_result = context.world.run_operator_command(number, text)


@when("an operator applies these records through daemon {number:d}")
def apply_records(context, number):
    digest = hashlib.sha256(b"key-novak").hexdigest()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "records.json"
        path.write_text(context.text.replace("DIGEST", digest))
        context.world.command_result = context.world.run_operator_command(
            number, f"record apply {path}"
        )


@when("two operators set the deadline of class {name} on the same revision")
def change_class_concurrently(context, name):
    world = context.world
    shown = world.run_operator_command(1, f"--json class show {name}").decode()
    revision = str(shown["revision"])

    async def run_commands():
        commands = [
            run_command(
                world.get_daemon(number),
                ("--author", author, "class", "change", name, "--revision", revision)
                + ("--deadline", str(20 + number)),
            )
            for number, author in ((1, "anna"), (2, "bojan"))
        ]
        return await asyncio.gather(*commands)

    world.batch_results = world.run(run_commands())


@then("one command ends with code 0, the other with code 3 and names the first")
def check_conflict(context):
    codes = [result.code for result in context.world.batch_results]
    assert sorted(codes) == [0, 3], context.world.batch_results
    winner = ("anna", "bojan")[codes.index(0)]
    assert winner in context.world.batch_results[codes.index(3)].error, (
        context.world.batch_results
    )


@then("the command ends with code {code:d}")
def check_code(context, code):
    assert context.world.command_result.code == code, context.world.command_result


@then('the command says "{text}"')
def check_text(context, text):
    command = context.world.command_result
    assert text in command.output + command.error, command


@then('the command does not say "{text}"')
def check_no_text(context, text):
    command = context.world.command_result
    assert text not in command.output + command.error, command


@then("the accepted revision is in force on every daemon within 5 seconds")
def check_revision(context):
    world = context.world
    revision = int(re.search(r"revision (\d+)", world.command_result.output).group(1))

    async def is_in_force():
        replies = [
            await world.fleet.client.get(
                f"http://{daemon.operator_address}/revision", OPERATOR_HEADERS
            )
            for daemon in world.list_serving_daemons()
        ]
        return all(reply.decode()["revision"] >= revision for reply in replies)

    world.run(world.wait_until(is_in_force, PROPAGATION_TIMEOUT))


@then("every daemon answers {organisation} with status {status:d} within 5 seconds")
def check_status(context, organisation, status):
    world = context.world

    async def is_status_everywhere():
        return await read_statuses(world, organisation) == {status}

    world.run(world.wait_until(is_status_everywhere, PROPAGATION_TIMEOUT))


@then("every daemon goes on answering {organisation} with status {status:d}")
def check_status_is_stable(context, organisation, status):
    world = context.world
    for _ in range(STEADY_CHECKS):
        found = world.run(read_statuses(world, organisation))
        assert found == {status}, found
        world.sleep(0.1)


async def read_statuses(world, organisation):
    """Return the set of statuses with which the daemons answer an organisation."""
    headers = {"Authorization": f"Bearer key-{organisation}"}
    return {
        (await world.fleet.client.get(f"{daemon.caller_url}/v1/models", headers)).status
        for daemon in world.list_serving_daemons()
    }


@when("{name} is a new organisation")
def add_organisation(context, name):
    context.world.organisations[name] = make_organisation(name, 1000)


@then("the history holds change {id_} once")
def check_history(context, id_):
    command = context.world.run_operator_command(1, "--json history")
    found = [change for change in json.loads(command.output) if change["id"] == id_]
    assert len(found) == 1, command


@then("the spend of {organisation} is the sum of its bills")
def check_spend(context, organisation):
    world = context.world

    async def is_spend_billed():
        result = await run_command(
            world.get_daemon(1), ("--json", "spend", organisation)
        )
        budgets = {
            budget.name: budget for budget in (await world.collect_evidence()).budgets
        }
        billed = sum(bill.tokens for bill in budgets[organisation].bills)
        return result.decode()[0]["settled"] == billed > 0

    world.run(world.wait_until(is_spend_billed))


@then("budget {name} has a limit of {tokens:d} tokens")
def check_limit(context, name, tokens):
    budgets = context.world.run(context.world.collect_evidence()).budgets
    assert [budget.limit for budget in budgets if budget.name == name] == [tokens], (
        budgets
    )


@when("an operator releases the grants of daemon {holder:d} in {budget}")
def release_grants(context, holder, budget):
    world = context.world
    name = world.get_daemon(holder).name
    shown = world.run_operator_command(1, f"--json grants {budget}").decode()
    grants = [each["grant_id"] for each in shown if each["holder"] == name]
    assert grants, shown
    for grant in grants:
        world.command_result = world.run_operator_command(
            1, f"release {budget} {grant}"
        )


@then("{budget} has an unattributed charge of daemon {holder:d}")
def check_unattributed(context, budget, holder):
    world = context.world
    name = world.get_daemon(holder).name

    async def is_listed():
        result = await run_command(
            world.get_daemon(1), ("--json", "unattributed", budget)
        )
        return name in {each["holder"] for each in result.decode()}

    world.run(world.wait_until(is_listed))


@then("{budget} has no grant of daemon {holder:d}")
def check_no_grant(context, budget, holder):
    world = context.world
    shown = world.run_operator_command(1, f"--json grants {budget}").decode()
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

    async def is_not_ready():
        return (await world.fleet.client.get(url)).status == 503

    world.run(world.wait_until(is_not_ready, PROPAGATION_TIMEOUT))
    assert world.fleet.get_process(daemon.name).running


@when("the settings are checked")
def check_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "daemon.ini"
        path.write_text(context.text)
        context.world.command_result = context.world.check_settings(path)
