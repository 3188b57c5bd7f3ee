"""Session that all commands share, and the exit codes."""

from pathlib import Path
from typing import Any, Final

from attrs import evolve, frozen
from expression import Result
from typer import Exit, echo

from hornbeamstair_core.codec import decode_yaml_mapping
from hornbeamstair_core.failures import Failure
from hornbeamstair_operators.command_line.client import ApiClient, ApiResponse
from hornbeamstair_operators.command_line.output import Output

__all__ = ('EXIT_REFUSED', 'EXIT_UNREACHABLE', 'EXIT_USAGE', 'Session')

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

_CHANGES_PATH: Final = '/v1/changes'
_MIN_ERROR_STATUS: Final = 400


@frozen
class Session:
    """API client and output of one command.

    The methods print an error and exit if the request fails.
    """

    client: ApiClient
    output: Output

    def with_token(self, token: str) -> 'Session':
        """Get a session that sends another token, unless it is empty."""
        return evolve(self, client=self.client.with_token(token))

    def read(self, path: str) -> Any:
        """Get a document of the API."""
        return self._get_document_or_exit(self.client.get(path))

    def change(
        self,
        request_id: str,
        expected_revision: int | None,
        change: dict[str, Any],
    ) -> int:
        """Send a change, print the answer and return the new revision."""
        answer = self.post(
            _CHANGES_PATH,
            {
                'request_id': request_id,
                'expected_revision': expected_revision,
                'change': change,
            },
        )
        self.output.print_document(answer)
        revision: int = answer['revision']
        return revision

    def post(self, path: str, document: dict[str, Any]) -> Any:
        """Send a POST request with a document."""
        return self._get_document_or_exit(self.client.post(path, document))

    def put(self, path: str, document: dict[str, Any]) -> Any:
        """Send a PUT request with a document."""
        return self._get_document_or_exit(self.client.put(path, document))

    def delete(self, path: str) -> Any:
        """Send a DELETE request."""
        return self._get_document_or_exit(self.client.delete(path))

    def read_file(self, path: Path) -> dict[str, Any]:
        """Read a mapping from a YAML file; exit if that fails."""
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            echo(f'{path}: {error}', err=True)
            raise Exit(EXIT_USAGE) from error
        return _get_mapping_or_exit(path, decode_yaml_mapping(text))

    def _get_document_or_exit(self, response: Result[ApiResponse, Any]) -> Any:
        if response.is_error():
            reason = response.error.reason
            echo(f'no response from {self.client.server}: {reason}', err=True)
            raise Exit(EXIT_UNREACHABLE)
        document = response.ok.document
        if response.ok.status >= _MIN_ERROR_STATUS:
            echo(f'{document["code"]} {document["message"]}', err=True)
            raise Exit(EXIT_REFUSED)
        return document


def _get_mapping_or_exit(
    path: Path,
    mapping: Result[dict[str, Any], Failure],
) -> dict[str, Any]:
    if mapping.is_error():
        failure = mapping.error
        echo(f'{path}: {failure.number} {failure.describe()}', err=True)
        raise Exit(EXIT_USAGE)
    return mapping.ok
