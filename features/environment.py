"""Hooks of behave: one fleet for each feature, and faults end with their scenario."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The command `behave` does not add the working directory to sys.path, unlike
# `python -m behave`.
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
        print(f"the scenario failed; logs are in {context.world.fleet_directory}")
    context.world.reset()


def after_feature(context, feature):
    context.world.close()
