"""List of the pinned packages that the programs need when they run."""

import re
from importlib.metadata import requires
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement

__all__ = ('main',)

_LOCK: Final = Path('requirements.lock')
_TARGET: Final = Path('deploy/requirements.txt')
# What the packages under packages/ and the adapter import at run time.
_ROOTS: Final = (
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
_BLOCK: Final = re.compile(r'^([a-z0-9._-]+)==.*?(?=^[a-z0-9]|\Z)', re.M | re.S)


def main() -> None:
    """Write the list; the hashes are those of the whole lock."""
    blocks = {
        match.group(1): match.group()
        for match in _BLOCK.finditer(_LOCK.read_text(encoding='utf-8'))
    }
    wanted = list(_ROOTS)
    for name in wanted:
        wanted.extend(
            found for found in _get_dependencies(name) if found not in wanted
        )
    lines = [
        line
        for name in sorted(set(wanted))
        for line in blocks[name].splitlines()
        if not line.lstrip().startswith('#')
    ]
    _TARGET.write_text('\n'.join([*lines, '']), encoding='utf-8')


def _get_dependencies(name: str) -> list[str]:
    found = [Requirement(text) for text in requires(name) or ()]
    return [
        requirement.name.lower().replace('_', '-')
        for requirement in found
        if requirement.marker is None or requirement.marker.evaluate()
    ]


if __name__ == '__main__':
    main()
