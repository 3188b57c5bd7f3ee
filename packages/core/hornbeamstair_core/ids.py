"""Types of the identifiers in the system."""

import re
from typing import Final, NewType

__all__ = (
    'CustomerId',
    'HostId',
    'JobId',
    'PoolName',
    'ProcessId',
    'QueueName',
    'RackName',
    'RequestId',
    'ServiceName',
    'TaskId',
    'UpstreamId',
    'WorkerId',
    'WorkspaceName',
    'ZoneName',
    'is_name',
)

CustomerId = NewType('CustomerId', str)
HostId = NewType('HostId', str)
JobId = NewType('JobId', str)
PoolName = NewType('PoolName', str)
ProcessId = NewType('ProcessId', str)
QueueName = NewType('QueueName', str)
RackName = NewType('RackName', str)
RequestId = NewType('RequestId', str)
ServiceName = NewType('ServiceName', str)
TaskId = NewType('TaskId', str)
UpstreamId = NewType('UpstreamId', str)
WorkerId = NewType('WorkerId', str)
WorkspaceName = NewType('WorkspaceName', str)
ZoneName = NewType('ZoneName', str)

_NAME_PATTERN: Final = re.compile('[a-z0-9](?:[a-z0-9._-]{0,62}[a-z0-9])?')


def is_name(text: str) -> bool:
    """Return whether a text is a valid identifier."""
    return _NAME_PATTERN.fullmatch(text) is not None
