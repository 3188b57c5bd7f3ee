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
        help='Identity of this request; a resend with the same one gets '
        'the first answer.',
    ),
]
ExpectedRevision = Annotated[
    int | None,
    Option(
        help='Refuse the change unless the subject has this revision; '
        '0 if it must not exist yet.',
    ),
]
WaitOption = Annotated[
    bool,
    Option('--wait', help='Wait until every process has it in force.'),
]


def get_request_id(chosen: str | None) -> str:
    """Get the chosen request id, or a new one."""
    return chosen or str(uuid4())
