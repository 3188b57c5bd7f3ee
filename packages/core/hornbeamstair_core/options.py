"""Typed access to options of settings files and messages."""

from collections.abc import Mapping
from typing import Any, Final, TypeVar

from attrs import define, field, frozen

from hornbeamstair_core.ids import is_name

__all__ = ('OptionProblem', 'OptionsError', 'OptionsReader')

_NAME_RULE: Final = 'must be a name of a-z, 0-9, ".", "_" or "-"'

Choice = TypeVar('Choice', bound=str)


@frozen
class OptionProblem:
    """Invalid option, identified by its path."""

    path: str
    reason: str


class OptionsError(Exception):
    """Invalid options."""

    def __init__(self, problems: tuple[OptionProblem, ...]) -> None:
        """Create an error for all problems that were found."""
        super().__init__(
            '; '.join(
                f'{problem.path}: {problem.reason}' for problem in problems
            ),
        )
        self.problems = problems


@define
class OptionsReader:
    """Reader of one mapping, which collects problems until raise_problems."""

    options: Mapping[str, Any]
    path: str = ''
    problems: list[OptionProblem] = field(factory=list)
    known_names: set[str] = field(factory=set)

    def get_str_opt(self, name: str, default: str | None = None) -> str:
        """Get a string; required without a default."""
        found = self._find(name, required=default is None)
        if found is None:
            return default or ''
        if not isinstance(found, str):
            self.add_problem(name, 'must be a string')
            return default or ''
        return found

    def get_name_opt(self, name: str, default: str | None = None) -> str:
        """Get an identifier."""
        found = self.get_str_opt(name, default)
        if found and not is_name(found):
            self.add_problem(name, _NAME_RULE)
        return found

    def get_bool_opt(self, name: str, *, default: bool | None = None) -> bool:
        """Get a boolean; required without a default."""
        found = self._find(name, required=default is None)
        if found is None:
            return bool(default)
        if not isinstance(found, bool):
            self.add_problem(name, 'must be true or false')
        return bool(found)

    def get_int_opt(
        self,
        name: str,
        low: int,
        high: int,
        default: int | None = None,
    ) -> int:
        """Get an integer within bounds; required without a default."""
        found = self._find(name, required=default is None)
        if found is None:
            return low if default is None else default
        if isinstance(found, bool) or not isinstance(found, int):
            self.add_problem(name, 'must be an integer')
            return low
        self._check_bounds(name, found, low, high)
        return found

    def get_float_opt(
        self,
        name: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Get a number within bounds; required without a default."""
        found = self._find(name, required=default is None)
        if found is None:
            return low if default is None else default
        if isinstance(found, bool) or not isinstance(found, int | float):
            self.add_problem(name, 'must be a number')
            return low
        self._check_bounds(name, found, low, high)
        return float(found)

    def get_choice_opt(
        self,
        name: str,
        choices: tuple[str, ...],
        default: str | None = None,
    ) -> str:
        """Get one of several strings."""
        found = self.get_str_opt(name, default)
        if found not in choices:
            self.add_problem(name, f'must be one of: {", ".join(choices)}')
            return choices[0]
        return found

    def get_section(self, name: str, *, required: bool = True) -> Any:
        """Get a reader of a nested mapping; empty if absent."""
        found = self._find(name, required=required)
        return self._get_reader(found, self._get_path(name))

    def get_sections(
        self,
        name: str,
        *,
        required: bool = True,
    ) -> 'list[OptionsReader]':
        """Get a reader for each mapping in a list."""
        found = self._find(name, required=required)
        if found is None:
            return []
        if not isinstance(found, list):
            self.add_problem(name, 'must be a list')
            return []
        if required and not found:
            self.add_problem(name, 'must not be empty')
        path = self._get_path(name)
        return [
            self._get_reader(nested, f'{path}[{position}]')
            for position, nested in enumerate(found)
        ]

    def add_problem(self, name: str, reason: str) -> None:
        """Add a problem with an option."""
        self.problems.append(OptionProblem(self._get_path(name), reason))

    def check_unknown(self) -> None:
        """Add a problem for each option that was not read."""
        for name in self.options:
            if name not in self.known_names:
                self.add_problem(str(name), 'unknown option')

    def raise_problems(self) -> None:
        """Raise OptionsError if there are problems."""
        if self.problems:
            raise OptionsError(tuple(self.problems))

    def _find(self, name: str, *, required: bool) -> Any:
        self.known_names.add(name)
        found = self.options.get(name)
        if found is None and required:
            self.add_problem(name, 'is required')
        return found

    def _get_path(self, name: str) -> str:
        return f'{self.path}.{name}' if self.path else name

    def _get_reader(self, found: object, path: str) -> 'OptionsReader':
        if found is None:
            found = {}
        if not isinstance(found, Mapping):
            self.problems.append(OptionProblem(path, 'must be a mapping'))
            found = {}
        return OptionsReader(found, path, self.problems)

    def _check_bounds(
        self,
        name: str,
        found: float,
        low: float,
        high: float,
    ) -> None:
        if not low <= found <= high:
            self.add_problem(name, f'must be from {low:g} to {high:g}')
