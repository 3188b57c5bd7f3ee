"""Plays the standard days of sites on unchanged sources, into one table."""

import re
import sys
from pathlib import Path
from subprocess import PIPE, STDOUT, run
from typing import Annotated, Final

from typer import Argument, Option
from typer import run as run_program

__all__ = ('main',)

_DAY_ROW: Final = re.compile(r'^(\S+) +\d+/\d+ +([-\d.]+ .*)$', re.MULTILINE)
_SCORE_ROW: Final = re.compile('^score on .*: ([-0-9.]+)$', re.MULTILINE)
_PASSED: Final = 'GATE passed'
_EXIT_CHANGED: Final = 2


def main() -> None:
    """Run the program."""
    run_program(_play)


def _play(
    bench: Annotated[Path, Argument(help='Program of the bench.')],
    sites: Annotated[list[Path], Argument(help='Site files.')],
    jobs: Annotated[int, Option(help='Days played at a time.')] = 3,
) -> None:
    """Score each site; exit with 1 unless every gate is passed."""
    changed = _run(['git', 'status', '--porcelain', '--', ':!journal'])
    if changed:
        sys.stderr.write(f'the sources have changed:\n{changed}')
        sys.exit(_EXIT_CHANGED)
    revision = _run(['git', 'rev-parse', '--short', 'HEAD']).strip()
    print('| site | day | score, worth, served, refused, failed |')
    print('|---|---|---|')
    is_passed = True
    for site in sites:
        output = _run(
            [
                str(bench),
                'score',
                str(site),
                f'--jobs={jobs}',
                f'--why=regression of {revision}',
            ],
        )
        is_passed = _print_rows(site.stem, output) and is_passed
    sys.exit(not is_passed)


def _print_rows(site: str, output: str) -> bool:
    for day, figures in _DAY_ROW.findall(output):
        print(f'| {site} | {day} | {figures} |')
    gate = _PASSED if _PASSED in output else 'GATE failed'
    score = ', '.join(_SCORE_ROW.findall(output))
    print(f'| {site} | all | score {score}, {gate} |', flush=True)
    if gate != _PASSED:
        # The bench names each broken rule and missed floor.
        sys.stderr.write(output)
    return gate == _PASSED


def _run(arguments: list[str]) -> str:
    return run(arguments, stdout=PIPE, stderr=STDOUT, text=True).stdout


if __name__ == '__main__':
    main()
