"""Hooks of behave: one fleet for each feature, without faults before each scenario."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The behave program does not add the working directory as `python -m behave` does.
sys.path.insert(0, str(ROOT))

from features import world  # noqa: E402

LOG_DIRECTORY = ROOT / "build" / "scenarios"


def before_feature(context, feature):
    name = re.sub(r"\W+", "-", feature.name.lower()).strip("-")
    context.world = world.World(directory=LOG_DIRECTORY / name)


def before_scenario(context, scenario):
    if "fresh_fleet" in scenario.effective_tags:
        context.world.close_fleet()


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        print(f"logs of the failed scenario: {context.world.fleet_directory}")
    context.world.reset()


def after_feature(context, feature):
    context.world.close()
