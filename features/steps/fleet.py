"""Steps that start a fleet and inject faults into it."""

from behave import given, when

from features.world import ENGINE_OPTIONS, make_organisation
from kingcuphead.storage import InstanceState


@given("a fleet of {daemons:d} daemons and {engines:d} engines")
def start_fleet(context, daemons, engines):
    start_fleet_once(context, daemons, engines, ENGINE_OPTIONS)


@given(
    "a fleet of {daemons:d} daemons, and {engines:d} engines"
    ' that "{marker}" in a prompt restarts'
)
def start_fleet_with_crash_marker(context, daemons, engines, marker):
    crash_options = ("--crash-marker", marker, "--crash-mode", "restart")
    start_fleet_once(context, daemons, engines, ENGINE_OPTIONS + crash_options)


def start_fleet_once(context, daemons, engines, options):
    """Start a fleet, unless the feature shares one that already runs."""
    if context.world.fleet is not None:
        return
    organisations = [
        make_organisation(row["organisation"], int(row["tokens"]), row["policy"])
        for row in context.table
    ]
    context.world.start_fleet(daemons, engines, organisations, options)


@when("daemon {number:d} is killed")
def kill_daemon(context, number):
    world = context.world
    world.run(world.fleet.kill(world.get_daemon(number).name))


@when("daemon {number:d} is listed as terminated")
def list_daemon_as_terminated(context, number):
    world = context.world
    name = world.get_daemon(number).name
    world.run(world.fleet.set_instance_state(name, InstanceState.TERMINATED))


@when("daemon {number:d} is replaced by a new instance")
def replace_daemon(context, number):
    context.world.replace_daemon(number)


@when("daemon {number:d} freezes")
def freeze_daemon(context, number):
    context.world.send_signal(number, "SIGSTOP")
    context.world.frozen_daemons.add(context.world.get_daemon(number).name)


@when("daemon {number:d} wakes")
def resume_daemon(context, number):
    context.world.send_signal(number, "SIGCONT")
    context.world.frozen_daemons.discard(context.world.get_daemon(number).name)


@when("daemon {number:d} is asked to stop")
def stop_daemon(context, number):
    context.world.send_signal(number, "SIGTERM")


@when("the table is down")
def stop_table(context):
    set_platform_switches(context, {"table": {"outage": "refuse"}})


@when("the table breaks connections")
def reset_table_connections(context):
    set_platform_switches(context, {"table": {"outage": "reset"}})


@when("the table is back")
def restore_table(context):
    set_platform_switches(context, {"table": {}})


@when("the table loses the next {count:d} replies")
def lose_table_replies(context, count):
    set_platform_switches(context, {"table": {"lose_replies": count}})


def set_platform_switches(context, switches):
    world = context.world
    world.run(world.fleet.set_switches(world.fleet.plan.platform_url, switches))


@when("engine {number:d} is killed")
def kill_engine(context, number):
    world = context.world
    name = world.fleet.plan.engines[number - 1].name
    world.killed_engines.add(name)
    world.run(world.fleet.kill(name))


@when("engine {number:d} is listed as leaving")
def list_engine_as_leaving(context, number):
    world = context.world
    name = world.fleet.plan.engines[number - 1].name
    world.run(world.fleet.set_instance_state(name, InstanceState.LEAVING))


@when("{seconds:g} seconds pass")
def wait_seconds(context, seconds):
    context.world.sleep(seconds)
