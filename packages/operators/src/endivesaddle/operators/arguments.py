"""What a command takes: words in order, and fields written ``name:value``."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/-]{0,127}')
_CHANGE_ID = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_NO_DEFAULT = object()


class Argument(NamedTuple):
    """One argument; ``read`` raises ``ValueError`` that says what is allowed.

    ``names`` is True where ``name:value`` is written, else it is a word in its
    place.  ``choices`` are the words that it may be, for the completion.
    """

    name: str
    meaning: str
    read: Callable[[str], Any]
    names: bool = False
    default: Any = _NO_DEFAULT
    choices: tuple[str, ...] = ()

    @property
    def required(self) -> bool:
        """Tell whether the command can't do without it."""
        return self.default is _NO_DEFAULT

    @property
    def usage(self) -> str:
        """Return it as the help shows it."""
        shown = f'{self.name}:...' if self.names else self.name.upper()
        return shown if self.required else f'[{shown}]'


def word(name: str, meaning: str, read: Callable[[str], Any], **more: Any) -> Argument:
    """Declare a word in its place."""
    return Argument(name, meaning, read, **more)


def field(name: str, meaning: str, read: Callable[[str], Any], **more: Any) -> Argument:
    """Declare a field ``name:value``."""
    return Argument(name, meaning, read, names=True, **more)


def named(text: str) -> str:
    """Read a name."""
    if not _NAME.fullmatch(text):
        raise ValueError('letters, digits and . _ / - are allowed, 128 at the most')
    return text


def change_id(text: str) -> str:
    """Read a change id, which becomes part of a key in the store."""
    if not _CHANGE_ID.fullmatch(text):
        raise ValueError('letters, digits and . _ - are allowed, 64 at the most')
    return text


def anything(text: str) -> str:
    """Read any text."""
    return text


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a reader that takes one of some words."""

    def read(text: str) -> str:
        if text not in choices:
            raise ValueError(f'one of {", ".join(choices)} is allowed')
        return text

    return read


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a reader of whole numbers within bounds; 1_000 and 1000 are the same."""

    def read(text: str) -> int:
        digits = text.replace('_', '')
        if not digits.isascii() or not digits.isdigit() or not low <= int(digits[:20]) <= high:
            raise ValueError(f'a whole number from {low} to {high} is allowed')
        return int(digits)

    return read
