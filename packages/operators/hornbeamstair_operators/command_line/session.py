"""What the commands share: the client, the output and the exit codes."""

from pathlib import Path
from typing import Any, Final

from attrs import frozen
from expression import Result
from typer import Exit, echo

from hornbeamstair_core.codec import read_yaml_mapping
from hornbeamstair_core.failures import Failure
from hornbeamstair_operators.command_line.client import ApiAnswer, ApiClient
from hornbeamstair_operators.command_line.output import Output

__all__ = ('EXIT_REFUSED', 'EXIT_UNREACHABLE', 'EXIT_USAGE', 'Session')

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

_CHANGES_PATH: Final = '/v1/changes'
_FIRST_ERROR_STATUS: Final = 400


@frozen
class Session:
    """Client and output of one command."""

    client: ApiClient
    output: Output

    def read(self, path: str) -> Any:
        """Read a document of the API; exit if it is refused."""
        return self._get_document(self.client.get(path))

    def change(
        self,
        request_id: str,
        expected_revision: int | None,
        change: dict[str, Any],
    ) -> int:
        """Send a change and print the answer; exit if it is refused."""
        answer = self.post(
            _CHANGES_PATH,
            {
                'request_id': request_id,
                'expected_revision': expected_revision,
                'change': change,
            },
        )
        self.output.print_record(answer)
        revision: int = answer['revision']
        return revision

    def post(self, path: str, document: dict[str, Any]) -> Any:
        """Send a document; exit if it is refused."""
        return self._get_document(self.client.post(path, document))

    def put(self, path: str, document: dict[str, Any]) -> Any:
        """Put a document in place; exit if it is refused."""
        return self._get_document(self.client.put(path, document))

    def delete(self, path: str) -> Any:
        """Take something away; exit if it is refused."""
        return self._get_document(self.client.delete(path))

    def read_file(self, path: Path) -> dict[str, Any]:
        """Read a YAML file; exit if it is not well formed."""
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            echo(f'{path}: {error}', err=True)
            raise Exit(EXIT_USAGE) from error
        return _get_mapping(path, read_yaml_mapping(text))

    def _get_document(self, answer: Result[ApiAnswer, Any]) -> Any:
        if answer.is_error():
            reason = answer.error.reason
            echo(f'no answer from {self.client.server}: {reason}', err=True)
            raise Exit(EXIT_UNREACHABLE)
        document = answer.ok.document
        if answer.ok.status >= _FIRST_ERROR_STATUS:
            echo(f'{document["code"]} {document["message"]}', err=True)
            raise Exit(EXIT_REFUSED)
        return document


def _get_mapping(
    path: Path,
    mapping: Result[dict[str, Any], Failure],
) -> dict[str, Any]:
    if mapping.is_error():
        failure = mapping.error
        echo(f'{path}: {failure.number} {failure.describe()}', err=True)
        raise Exit(EXIT_USAGE)
    return mapping.ok
