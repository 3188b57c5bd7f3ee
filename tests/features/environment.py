"""Hooks of the behave suite."""

from pathlib import Path
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
    """Keep the exception of a failed step, whatever the formatter shows.

    Standard output may be a pipe that takes no more: an error of this hook
    would hide the failure of the step.
    """
    path = context.config.userdata.get('errors')
    if step.exception is not None and path:
        with Path(path).open('a') as errors:
            print(f'\n{step.location}: {step.name}', file=errors)
            print_exception(step.exception, file=errors)


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop everything that the scenario started."""
    context.world.close()
