"""Check of the import directions between packages and kinds of modules."""

import ast
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Final

__all__ = ('find_problems', 'main')

_ROOT: Final = Path('packages')
_PREFIX: Final = 'hornbeamstair_'
# The adapter, which nothing under packages/ may import.
_ADAPTER: Final = 'hornbeamstair_platform'

# Packages that each package may import besides itself.
_ALLOWED: Final = MappingProxyType(
    {
        'core': frozenset(),
        'replicas': frozenset(('core',)),
        'fleet': frozenset(('core',)),
        'upstreams': frozenset(('core', 'fleet')),
        'operators': frozenset(('core', 'replicas', 'fleet')),
        'callers': frozenset(
            ('core', 'fleet', 'replicas', 'upstreams', 'operators'),
        ),
    }
)
# Modules that encode messages: they may import codec libraries.
_CODECS: Final = frozenset(
    (
        'change_documents',
        'codec',
        'documents',
        'key_codec',
        'state_machine',
    )
)
# Modules and folders that do I/O: they may import anything.
_ENDPOINTS: Final = frozenset(
    (
        '__main__',
        'client',
        'command_line',
        'connections',
        'endpoints',
        'front_end',
        'front_ends',
        'groups',
        'key_keeper',
        'runner',
        'service',
        'storage',
        'transport',
    )
)
_IO_LIBRARIES: Final = frozenset(
    (
        'aiosonic',
        'asyncio',
        'socket',
        'starlette',
        'time',
        'typer',
        'uvicorn',
        'websockets',
    )
)
_CODEC_LIBRARIES: Final = frozenset(('cattrs', 'cbor2', 'json', 'yaml'))


def find_problems() -> Iterator[str]:
    """Find the imports that go in a forbidden direction."""
    for package in _ALLOWED:
        folder = _ROOT / package / f'{_PREFIX}{package}'
        for path in sorted(folder.rglob('*.py')):
            yield from _find_module_problems(package, folder, path)
    for module in sorted(_ROOT.rglob('*.py')):
        if _ADAPTER in map(_get_top, _get_imports(module)):
            yield f'{module}: imports the adapter'


def _find_module_problems(
    package: str,
    folder: Path,
    path: Path,
) -> Iterator[str]:
    parts = path.relative_to(folder).with_suffix('').parts
    for imported in _get_imports(path):
        reason = _check_package(imported, package, _ALLOWED[package])
        reason = reason or _check_kind(imported, package, parts)
        if reason:
            yield f'{path}: imports {imported}: {reason}'


def _get_top(imported: str) -> str:
    return imported.partition('.')[0]


def _get_imports(path: Path) -> Iterable[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def _check_package(
    imported: str,
    package: str,
    allowed: frozenset[str],
) -> str:
    top = _get_top(imported)
    if not top.startswith(_PREFIX):
        return ''
    target = top.removeprefix(_PREFIX)
    if target == package or target in allowed:
        return ''
    return f'{package} may not depend on {target}'


def _check_kind(
    imported: str,
    package: str,
    parts: tuple[str, ...],
) -> str:
    if package == 'core' or _ENDPOINTS.intersection(parts):
        return ''
    names = imported.split('.')
    if names[0] in _IO_LIBRARIES or _ENDPOINTS.intersection(names):
        return 'only endpoints do I/O'
    if _CODECS.intersection(parts):
        return ''
    if names[0] in _CODEC_LIBRARIES or _CODECS.intersection(names):
        return 'decisions do not encode'
    return ''


def main() -> None:
    """Print the problems and exit with 1 if there are any."""
    problems = list(find_problems())
    for problem in problems:
        print(problem)
    sys.exit(1 if problems else 0)


if __name__ == '__main__':
    main()
