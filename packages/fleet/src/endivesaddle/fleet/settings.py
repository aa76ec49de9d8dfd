"""Settings from flags and environment variables, validated at startup.

Each component has its own frozen dataclass of settings, which is passed to it as a whole;
the commands of ``endivesaddled`` combine them with ``cappa.Arg.destructured()``.
``option`` gives each field its flag, its environment variable ``ENDIVESADDLE_<FLAG>`` and
its check, so that an invalid value is reported in one line that names all three.
"""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from endivesaddle.fleet.errors import UserError

PREFIX = 'ENDIVESADDLE_'
REQUIRED = object()
"""The default of a required setting."""
COMMAND_LINE = 'cappa'
"""The metadata key under which ``cappa`` expects the argument of a field."""
DECLARED = 'declared'
"""The metadata key of the arguments of ``option``."""


def variable(flag: str) -> str:
    """Return the environment variable of a flag."""
    return PREFIX + flag.replace('-', '_').upper()


def option(
    flag: str,
    help_text: str,
    default: Any = REQUIRED,
    parse: Callable[[str], Any] | None = None,
) -> Any:
    """Return the dataclass field of a setting; its default also applies in tests.

    Without a default, either the flag or its environment variable is required.
    """
    metadata = _Argument(flag, help_text, default, parse)
    if default is REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


class _Argument(Mapping[str, Any]):
    """Field metadata that creates the command-line argument on access."""

    def __init__(self, *declared: Any) -> None:
        """Initialize with the arguments of ``arguments.argument``."""
        self._declared = declared

    @property
    def flag(self) -> str:
        """The flag without its dashes."""
        return str(self._declared[0])

    def check(self, value: Any) -> None:
        """Check a value of the field's type; raises ``ValueError`` with the values allowed."""
        parse = self._declared[3]
        if parse is not None and isinstance(value, str | int | float):
            parse(str(value))

    def __getitem__(self, key: str) -> Any:
        """Return the command-line argument of the field, or its flag and parser."""
        if key == DECLARED:
            return self._declared
        if key != COMMAND_LINE:
            raise KeyError(key)
        from endivesaddle.fleet.arguments import argument  # noqa: PLC0415 (imports cappa)

        return argument(*self._declared)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys."""
        return iter((COMMAND_LINE, DECLARED))

    def __len__(self) -> int:
        """Return the number of keys, 2."""
        return 2


def check(settings: Any) -> None:
    """Check settings that were built without a command line, and the settings that they contain.

    Raises ``UserError`` with the flag, the value and what is allowed.
    """
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if dataclasses.is_dataclass(value):
            check(value)
        elif DECLARED in field.metadata and isinstance(value, str | int | float):
            _check_value(field.metadata[DECLARED], value)


def _check_value(declared: tuple[Any, ...], value: str | float) -> None:
    flag, _, _, parse = declared
    if parse is None:
        return
    try:
        parse(str(value))
    except ValueError as error:
        raise UserError(f'--{flag} is {value}; only {error} allowed') from error


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of numbers from ``low`` to ``high``, both inclusive."""

    def parse(text: str) -> float:
        allowed = f'a number from {low} to {high} is'
        try:
            value = float(text)
        except ValueError:
            raise ValueError(allowed) from None
        if not low <= value <= high:
            raise ValueError(allowed)
        return value

    return parse


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers from ``low`` to ``high``, both inclusive."""

    def parse(text: str) -> int:
        allowed = f'a whole number from {low} to {high} is'
        try:
            value = int(text)
        except ValueError:
            raise ValueError(allowed) from None
        if not low <= value <= high:
            raise ValueError(allowed)
        return value

    return parse


def choice(*names: str) -> Callable[[str], str]:
    """Return a parser that accepts one of the given names."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(f'one of {", ".join(names)} is')
        return text

    return parse


def name_list(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of names or addresses."""
    return tuple(part.strip() for part in text.split(',') if part.strip())


def name_value_pairs(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of "name=value" entries."""
    entries = name_list(text)
    for entry in entries:
        name, _, value = entry.partition('=')
        if not name or not value:
            raise ValueError('entries such as porto-a=porto, separated by commas, are')
    return entries


def address(text: str) -> str:
    """Check that a text has the form "ip:port", and return it."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError('an IP number and a port such as 127.0.0.1:7001 is')
    return text
