"""Hooks of the behave suite."""

from typing import Any

from tests.support.world import World


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a world of its own."""
    context.world = World()


def after_scenario(context: Any, scenario: Any) -> None:
    """End what the scenario started."""
    context.world.close()
