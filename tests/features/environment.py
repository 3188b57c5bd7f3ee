"""Hooks of the behave suite."""

import sys
from traceback import print_exception
from typing import Any

from absl import logging

from tests.support.world import World


def before_all(context: Any) -> None:
    """Hide the events of provoked failures from the suite's output."""
    logging.set_verbosity(logging.FATAL)


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the shared state of the scenario."""
    context.world = World()


def after_step(context: Any, step: Any) -> None:
    """Print the exception of a failed step, whatever the formatter shows."""
    if step.exception is not None:
        print(f'\n{step.location}: {step.name}', file=sys.__stdout__)
        print_exception(step.exception, file=sys.__stdout__)


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop everything that the scenario started."""
    context.world.close()
