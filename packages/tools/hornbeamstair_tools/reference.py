"""Generate the tables of results, events and metrics in the docs."""

import sys
from importlib import import_module
from pathlib import Path
from pkgutil import walk_packages
from types import MappingProxyType
from typing import Final

from hornbeamstair_core.events import get_events
from hornbeamstair_core.failures import get_failures
from hornbeamstair_core.metrics import Metrics

__all__ = ('main',)

_PACKAGES: Final = (
    'hornbeamstair_core',
    'hornbeamstair_callers',
    'hornbeamstair_daemon',
    'hornbeamstair_operators',
    'hornbeamstair_fleet',
    'hornbeamstair_replicas',
    'hornbeamstair_upstreams',
)
# Suffixes that the exposition format adds to metric names.
_METRIC_SUFFIXES: Final = MappingProxyType({'counter': '_total'})
_TABLE_MARKER: Final = '<!-- table from the code: make reference -->\n'


def get_results_table() -> str:
    """Return the table of result codes."""
    rows = [
        f'| {failure.number} | `{failure.name}` | {failure.http_status} '
        f'| {"yes" if failure.may_have_run else "no"} | {failure.summary} |'
        for failure in get_failures()
    ]
    head = [
        '| code | name | HTTP | may have run | meaning |',
        '|---|---|---|---|---|',
    ]
    return '\n'.join([*head, *rows, ''])


def get_events_table() -> str:
    """Return the table of events."""
    rows = [
        f'| {event.number} | `{event.name}` | {event.level.name} '
        f'| {event.summary} |'
        for event in get_events()
    ]
    head = ['| event | name | level | meaning |', '|---|---|---|---|']
    return '\n'.join([*head, *rows, ''])


def get_metrics_table() -> str:
    """Return the table of the metrics that each process serves."""
    rows = [
        f'| `{metric.name}{_METRIC_SUFFIXES.get(metric.type, "")}` '
        f'| {metric.type} | {metric.documentation} |'
        for metric in Metrics().registry.collect()
    ]
    head = ['| metric | kind | meaning |', '|---|---|---|']
    return '\n'.join([*head, *sorted(rows), ''])


def main() -> None:
    """Write the tables into the docs, or only compare them with --check."""
    for package in _PACKAGES:
        _import_modules(package)
    tables = {
        Path('docs/RESULTS.md'): get_results_table(),
        Path('docs/EVENTS.md'): get_events_table(),
        Path('docs/METRICS.md'): get_metrics_table(),
    }
    outdated = [
        path for path, table in tables.items() if not _update_table(path, table)
    ]
    for path in outdated:
        print(f'{path} differs from the code: run make reference')
    sys.exit(1 if outdated else 0)


def _import_modules(package: str) -> None:
    folder = import_module(package).__path__
    for module in walk_packages(folder, f'{package}.'):
        if not module.name.endswith('__main__'):
            import_module(module.name)


def _update_table(path: Path, table: str) -> bool:
    text = path.read_text(encoding='utf-8')
    head = text.partition(_TABLE_MARKER)[0]
    expected = head + _TABLE_MARKER + table
    if text == expected:
        return True
    if '--check' in sys.argv:
        return False
    path.write_text(expected, encoding='utf-8')
    return True


if __name__ == '__main__':
    main()
