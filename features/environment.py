"""Set-up: each scenario gets a fleet of its own, or shares that of its feature."""

import asyncio

from features.world import World

#: Tag of a feature whose scenarios leave the fleet as the next one needs it.
SHARED = "shared_fleet"


def before_feature(context, feature):
    if SHARED in feature.tags:
        context.shared = World(asyncio.new_event_loop())


def before_scenario(context, scenario):
    if SHARED in scenario.feature.tags:
        context.world = context.shared
    else:
        context.world = World(asyncio.new_event_loop())


def after_scenario(context, scenario):
    world = context.world
    if scenario.status == "failed":
        print(world.describe())
    if SHARED not in scenario.feature.tags:
        world.close()


def after_feature(context, feature):
    if SHARED in feature.tags:
        context.shared.close()
