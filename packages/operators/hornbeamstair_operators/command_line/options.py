"""Options that several commands share."""

from typing import Annotated
from uuid import uuid4

from typer import Option

__all__ = (
    'ExpectedRevision',
    'RequestIdOption',
    'WaitOption',
    'get_request_id',
)

RequestIdOption = Annotated[
    str | None,
    Option(
        help='Id of this request; a resend with the same id gets the '
        'first answer.',
    ),
]
ExpectedRevision = Annotated[
    int | None,
    Option(
        help='Refuse the change unless the subject has this revision; '
        '0 for a subject that does not exist yet.',
    ),
]
WaitOption = Annotated[
    bool,
    Option(
        '--wait', help='Wait until the change is in force in every process.'
    ),
]


def get_request_id(given: str | None) -> str:
    """Get the given request id, or a new one."""
    return given or str(uuid4())
