"""Steps that set a fleet up and disturb it."""

from behave import given, when

from features.world import ENGINE_OPTIONS, make_organisation
from kingcuphead.storage import InstanceState


@given("a fleet of {daemons:d} daemons and {engines:d} engines")
def start_fleet(context, daemons, engines):
    start(context, daemons, engines, ENGINE_OPTIONS)


@given(
    "a fleet of {daemons:d} daemons, and {engines:d} engines"
    ' that "{marker}" in a prompt restarts'
)
def start_fragile_fleet(context, daemons, engines, marker):
    crash = ("--crash-marker", marker, "--crash-mode", "restart")
    start(context, daemons, engines, ENGINE_OPTIONS + crash)


def start(context, daemons, engines, options):
    """Start a fleet, unless the feature's scenarios share one that runs already."""
    if context.world.fleet is not None:
        return
    organisations = [
        make_organisation(row["organisation"], int(row["tokens"]), row["policy"])
        for row in context.table
    ]
    context.world.start(daemons, engines, organisations, options)


@when("daemon {number:d} is killed")
def kill_daemon(context, number):
    world = context.world
    world.run(world.fleet.kill(world.get_daemon(number).name))


@when("daemon {number:d} is listed as terminated")
def terminate_daemon(context, number):
    world = context.world
    name = world.get_daemon(number).name
    world.run(world.fleet.set_instance_state(name, InstanceState.TERMINATED))


@when("daemon {number:d} is replaced by a new instance")
def replace_daemon(context, number):
    context.world.replace(number)


@when("daemon {number:d} freezes")
def freeze_daemon(context, number):
    context.world.signal(number, "SIGSTOP")
    context.world.frozen.add(context.world.get_daemon(number).name)


@when("daemon {number:d} wakes")
def wake_daemon(context, number):
    context.world.signal(number, "SIGCONT")
    context.world.frozen.discard(context.world.get_daemon(number).name)


@when("daemon {number:d} is asked to stop")
def stop_daemon(context, number):
    context.world.signal(number, "SIGTERM")


@when("the table is down")
def stop_table(context):
    switch_platform(context, {"table": {"outage": "refuse"}})


@when("the table breaks connections")
def break_table(context):
    switch_platform(context, {"table": {"outage": "reset"}})


@when("the table is back")
def restore_table(context):
    switch_platform(context, {"table": {}})


@when("the table loses the next {count:d} replies")
def lose_replies(context, count):
    switch_platform(context, {"table": {"lose_replies": count}})


def switch_platform(context, switches):
    world = context.world
    world.run(world.fleet.set_switches(world.fleet.plan.platform_url, switches))


@when("engine {number:d} is killed")
def kill_engine(context, number):
    world = context.world
    name = world.fleet.plan.engines[number - 1].name
    world.lost_engines.add(name)
    world.run(world.fleet.kill(name))


@when("engine {number:d} is listed as leaving")
def leave_engine(context, number):
    world = context.world
    name = world.fleet.plan.engines[number - 1].name
    world.run(world.fleet.set_instance_state(name, InstanceState.LEAVING))


@when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.world.sleep(seconds)
