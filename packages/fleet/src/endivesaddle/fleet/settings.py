"""Settings: flags and environment variables, checked at start.

Each part of the fleet has a frozen dataclass of its own, passed whole to what
it settles; the commands of ``endivesaddled`` put them together with
``cappa.Arg.destructured()``.  ``option`` gives each field its flag, its
variable ``ENDIVESADDLE_<FLAG>`` and its check, so that a wrong value is told
in one line that names all three.
"""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any

PREFIX = 'ENDIVESADDLE_'
REQUIRED = object()
"""The default of a setting that has to be given."""
COMMAND_LINE = 'cappa'
"""Where the library of the command line looks for a field's argument."""


def variable(flag: str) -> str:
    """Return the environment variable of a flag."""
    return PREFIX + flag.replace('-', '_').upper()


def option(
    flag: str,
    help_text: str,
    default: Any = REQUIRED,
    parse: Callable[[str], Any] | None = None,
) -> Any:
    """Return the dataclass field of a setting; its default holds in tests, too.

    Without a default the flag or its variable has to be given.
    """
    metadata = _Argument(flag, help_text, default, parse)
    if default is REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


class _Argument(Mapping[str, Any]):
    """A field's argument, made where the command line asks for it."""

    def __init__(self, *declared: Any) -> None:
        """Take what ``arguments.argument`` takes."""
        self._declared = declared

    def __getitem__(self, key: str) -> Any:
        """Return the argument."""
        if key != COMMAND_LINE:
            raise KeyError(key)
        from endivesaddle.fleet.arguments import argument  # noqa: PLC0415 (see there)

        return argument(*self._declared)

    def __iter__(self) -> Iterator[str]:
        """Name the one key."""
        return iter((COMMAND_LINE,))

    def __len__(self) -> int:
        """Count it."""
        return 1


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of numbers within bounds, both included."""

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
    """Return a parser of whole numbers within bounds, both included."""

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
    """Return a parser that takes one of some words."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(f'one of {", ".join(names)} is')
        return text

    return parse


def name_list(text: str) -> tuple[str, ...]:
    """Parse names or addresses separated by commas."""
    return tuple(part.strip() for part in text.split(',') if part.strip())


def name_value_pairs(text: str) -> tuple[str, ...]:
    """Parse entries "name=value" separated by commas."""
    entries = name_list(text)
    for entry in entries:
        name, _, value = entry.partition('=')
        if not name or not value:
            raise ValueError('entries such as porto-a=porto, separated by commas, are')
    return entries


def address(text: str) -> str:
    """Parse "ip:port"."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError('an IP number and a port such as 127.0.0.1:7001 is')
    return text
