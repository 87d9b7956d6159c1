"""Behave hooks that give each scenario, or each tagged feature, a fleet of its own."""

import asyncio

from features.world import World

#: Tag of features whose scenarios share one fleet. Each scenario must leave the
#: fleet in a state that the next one can start from.
SHARED_FLEET_TAG = "shared_fleet"


def before_feature(context, feature):
    if SHARED_FLEET_TAG in feature.tags:
        context.shared_world = World(asyncio.new_event_loop())


def before_scenario(context, scenario):
    if SHARED_FLEET_TAG in scenario.feature.tags:
        context.world = context.shared_world
    else:
        context.world = World(asyncio.new_event_loop())


def after_scenario(context, scenario):
    world = context.world
    if scenario.status == "failed":
        print(world.read_logs())
    if SHARED_FLEET_TAG not in scenario.feature.tags:
        world.close()


def after_feature(context, feature):
    if SHARED_FLEET_TAG in feature.tags:
        context.shared_world.close()
