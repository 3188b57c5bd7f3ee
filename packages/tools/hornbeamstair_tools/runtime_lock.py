"""Extract the pinned runtime dependencies from the complete lock file."""

import re
from importlib.metadata import requires
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement

__all__ = ('main',)

_LOCK: Final = Path('requirements.lock')
_TARGET: Final = Path('deploy/requirements.txt')
# Imported at run time by packages/ and by the platform adapter.
_DIRECT_DEPENDENCIES: Final = (
    'absl-py',
    'attrs',
    'cattrs',
    'cbor2',
    'expression',
    'httptools',
    'prometheus-client',
    'pyyaml',
    'starlette',
    'transitions',
    'uvicorn',
    'websockets',
)
_LOCK_ENTRY: Final = re.compile(
    r'^([a-z0-9._-]+)==.*?(?=^[a-z0-9]|\Z)', re.M | re.S
)


def main() -> None:
    """Write the pinned runtime dependencies with the hashes of the lock."""
    entries = {
        match.group(1): match.group()
        for match in _LOCK_ENTRY.finditer(_LOCK.read_text(encoding='utf-8'))
    }
    required = list(_DIRECT_DEPENDENCIES)
    for name in required:
        required.extend(
            dependency
            for dependency in _get_dependencies(name)
            if dependency not in required
        )
    lines = [
        line
        for name in sorted(set(required))
        for line in entries[name].splitlines()
        if not line.lstrip().startswith('#')
    ]
    _TARGET.write_text('\n'.join([*lines, '']), encoding='utf-8')


def _get_dependencies(name: str) -> list[str]:
    requirements = [Requirement(text) for text in requires(name) or ()]
    return [
        requirement.name.lower().replace('_', '-')
        for requirement in requirements
        if requirement.marker is None or requirement.marker.evaluate()
    ]


if __name__ == '__main__':
    main()
