"""Output formats of the command line."""

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
    """Output format for documents of the API."""

    name: ClassVar[str]

    @abstractmethod
    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print rows; the text format prints only the given columns."""

    @abstractmethod
    def print_document(self, document: Mapping[str, Any]) -> None:
        """Print one document."""


class JsonOutput(Output):
    """JSON output."""

    name: ClassVar[str] = 'json'

    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print rows as a JSON list."""
        echo(json.dumps(list(rows), indent=2))

    def print_document(self, document: Mapping[str, Any]) -> None:
        """Print a document as a JSON object."""
        echo(json.dumps(dict(document), indent=2))


class TextOutput(Output):
    """Aligned text output."""

    name: ClassVar[str] = 'text'

    def print_table(
        self,
        rows: Sequence[Mapping[str, Any]],
        columns: Sequence[str],
    ) -> None:
        """Print the given columns of rows, aligned."""
        cells = [
            [_format_value(row.get(name)) for name in columns] for row in rows
        ]
        table = [[name.upper() for name in columns], *cells]
        widths = [max(map(len, column)) for column in zip(*table, strict=True)]
        gap = ' ' * _COLUMN_GAP
        for line in table:
            padded = map(str.ljust, line, widths)
            echo(gap.join(padded).rstrip())

    def print_document(self, document: Mapping[str, Any]) -> None:
        """Print one field per line, and lists of rows as tables."""
        for name, field in document.items():
            if isinstance(field, list) and field:
                echo(f'{name}:')
                self.print_table(field, tuple(field[0]))
            else:
                echo(f'{name}: {_format_value(field)}')


_OUTPUTS: Final = (TextOutput, JsonOutput)
OUTPUT_NAMES: Final = tuple(output.name for output in _OUTPUTS)


def get_output(name: str) -> Output:
    """Get an output by name; raises StopIteration if there is none."""
    return next(output for output in _OUTPUTS if output.name == name)()


def _format_value(field: object) -> str:
    if isinstance(field, float):
        return f'{field:g}'
    if isinstance(field, list | dict):
        return json.dumps(field)
    return str(field)
