"""Check which packages and modules each module may import.

Modules that make decisions neither do I/O nor encode messages, so that
another front end can use them.
"""

import ast
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Final

__all__ = ('find_violations', 'main')

_ROOT: Final = Path('packages')
_PACKAGE_PREFIX: Final = 'hornbeamstair_'
# Adapter to the platform; no module under packages/ may import it.
_ADAPTER: Final = 'hornbeamstair_platform'

# Packages that each package may import, besides itself.
_ALLOWED_PACKAGES: Final = MappingProxyType(
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
# Modules and folders that encode messages: they may import codec libraries.
_CODEC_MODULES: Final = frozenset(
    (
        'change_documents',
        'codec',
        'documents',
        'key_codec',
        'state_machine',
    )
)
# Modules and folders that do I/O: they may import anything.
_IO_MODULES: Final = frozenset(
    (
        '__main__',
        'client',
        'command_line',
        'connections',
        'endpoints',
        'front_end',
        'front_ends',
        'groups',
        'key_store',
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


def find_violations() -> Iterator[str]:
    """Return a line for each import that a rule forbids."""
    for package in _ALLOWED_PACKAGES:
        folder = _ROOT / package / f'{_PACKAGE_PREFIX}{package}'
        for path in sorted(folder.rglob('*.py')):
            yield from _find_module_violations(package, folder, path)
    for module in sorted(_ROOT.rglob('*.py')):
        if _ADAPTER in map(_get_top_package, _get_imports(module)):
            yield f'{module}: imports the platform adapter'


def _find_module_violations(
    package: str,
    folder: Path,
    path: Path,
) -> Iterator[str]:
    parts = path.relative_to(folder).with_suffix('').parts
    for imported in _get_imports(path):
        reason = _check_package_rule(
            imported, package, _ALLOWED_PACKAGES[package]
        )
        reason = reason or _check_module_rule(imported, package, parts)
        if reason:
            yield f'{path}: imports {imported}: {reason}'


def _get_top_package(imported: str) -> str:
    return imported.partition('.')[0]


def _get_imports(path: Path) -> Iterable[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def _check_package_rule(
    imported: str,
    package: str,
    allowed: frozenset[str],
) -> str:
    top = _get_top_package(imported)
    if not top.startswith(_PACKAGE_PREFIX):
        return ''
    target = top.removeprefix(_PACKAGE_PREFIX)
    if target == package or target in allowed:
        return ''
    return f'{package} may not depend on {target}'


def _check_module_rule(
    imported: str,
    package: str,
    parts: tuple[str, ...],
) -> str:
    if package == 'core' or _IO_MODULES.intersection(parts):
        return ''
    names = imported.split('.')
    if names[0] in _IO_LIBRARIES or _IO_MODULES.intersection(names):
        return 'only I/O modules may import I/O libraries and modules'
    if _CODEC_MODULES.intersection(parts):
        return ''
    if names[0] in _CODEC_LIBRARIES or _CODEC_MODULES.intersection(names):
        return 'only codec and I/O modules may import codecs'
    return ''


def main() -> None:
    """Print the violations and exit with status 1 if there are any."""
    violations = list(find_violations())
    for violation in violations:
        print(violation)
    sys.exit(1 if violations else 0)


if __name__ == '__main__':
    main()
