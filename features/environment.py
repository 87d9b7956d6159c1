"""Set-up of the scenarios: each gets a fleet of its own."""

import asyncio

from features.world import World


def before_scenario(context, scenario):
    context.world = World(asyncio.new_event_loop())


def after_scenario(context, scenario):
    world = context.world
    if scenario.status == "failed":
        print(world.describe())
    world.close()
