"""Output of the command line, for people or for programs."""

import json
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, Final

from typer import echo

__all__ = (
    'OUTPUT_NAMES',
    'JsonOutput',
    'Output',
    'TextOutput',
    'get_output',
)

_COLUMN_GAP: Final = 2


class Output(ABC):
    """Way to print documents of the API."""

    name: ClassVar[str]

    @abstractmethod
    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print rows, for people only their named columns."""

    @abstractmethod
    def print_record(self, record: Mapping[str, Any]) -> None:
        """Print one record."""


class JsonOutput(Output):
    """JSON for programs."""

    name: ClassVar[str] = 'json'

    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print rows as a JSON list."""
        echo(json.dumps(list(rows), indent=2))

    def print_record(self, record: Mapping[str, Any]) -> None:
        """Print a record as a JSON object."""
        echo(json.dumps(dict(record), indent=2))


class TextOutput(Output):
    """Aligned text for people."""

    name: ClassVar[str] = 'text'

    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print the named columns of rows, aligned."""
        cells = [[_format(row.get(name)) for name in columns] for row in rows]
        table = [[name.upper() for name in columns], *cells]
        widths = [max(map(len, column)) for column in zip(*table, strict=True)]
        gap = ' ' * _COLUMN_GAP
        for line in table:
            padded = map(str.ljust, line, widths)
            echo(gap.join(padded).rstrip())

    def print_record(self, record: Mapping[str, Any]) -> None:
        """Print one field a line; nested rows as tables."""
        for name, field in record.items():
            if isinstance(field, list) and field:
                echo(f'{name}:')
                self.print_table(field, tuple(field[0]))
            else:
                echo(f'{name}: {_format(field)}')


_OUTPUTS: Final = (TextOutput, JsonOutput)
OUTPUT_NAMES: Final = tuple(output.name for output in _OUTPUTS)


def get_output(name: str) -> Output:
    """Get an output by name; StopIteration if there is none."""
    return next(output for output in _OUTPUTS if output.name == name)()


def _format(field: object) -> str:
    if isinstance(field, float):
        return f'{field:g}'
    if isinstance(field, list | dict):
        return json.dumps(field)
    return str(field)
