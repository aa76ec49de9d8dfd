"""Keys of the tables: what their values may be.

A check takes the value from the file and returns the one for the configuration;
it raises ``ValueError`` that says what is allowed.
"""

import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlsplit

Check = Callable[[Any], Any]
_DIGEST = re.compile('[0-9a-f]{64}')
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._/-]{0,127}')
NAME_ALLOWED = 'letters, digits and . _ / - (128 at the most, the first a letter or digit) are'


class Key(NamedTuple):
    """One key of a table; without ``required`` the configuration's default holds."""

    check: Check
    required: bool = False


Keys = Mapping[str, Key]


def required(check: Check) -> Key:
    """Return a key that has to be there."""
    return Key(check, required=True)


def optional(check: Check) -> Key:
    """Return a key that may be left out."""
    return Key(check)


def text(written: Any) -> str:
    """Take a text."""
    if not isinstance(written, str):
        raise ValueError('a text in quotes is')
    return written


def name(written: Any) -> str:
    """Take a name."""
    if not isinstance(written, str) or not _NAME.fullmatch(written):
        raise ValueError(NAME_ALLOWED)
    return written


def flag(written: Any) -> bool:
    """Take true or false."""
    if not isinstance(written, bool):
        raise ValueError('true or false is')
    return written


def integer(low: int, high: int) -> Check:
    """Return a check of whole numbers within bounds."""

    def check(written: Any) -> int:
        if not isinstance(written, int) or isinstance(written, bool) or not low <= written <= high:
            raise ValueError(f'a whole number from {low} to {high} is')
        return written

    return check


def one_of(*choices: str) -> Check:
    """Return a check of some words."""

    def check(written: Any) -> str:
        if written not in choices:
            raise ValueError(f'one of {", ".join(choices)} is')
        return str(written)

    return check


def list_of(check: Check) -> Check:
    """Return a check of a list, without doubles, of what ``check`` takes."""

    def check_list(written: Any) -> tuple[Any, ...]:
        if not isinstance(written, list):
            raise ValueError('a list in [ ] is')
        checked = tuple(check(entry) for entry in written)
        if len(set(checked)) < len(checked):
            raise ValueError('a list without doubles is')
        return checked

    return check_list


def digest(written: Any) -> str:
    """Take a SHA-256 digest; a key in clear is refused, and not repeated."""
    if not isinstance(written, str) or not _DIGEST.fullmatch(written):
        raise _Secret('64 digits 0-9a-f, as "endivesaddle keys" prints them, are')
    return written


def url(written: Any) -> str:
    """Take an http or https URL with a host."""
    if not isinstance(written, str):
        raise ValueError('a URL in quotes is')
    try:
        parts = urlsplit(written)
        usable = parts.scheme in {'http', 'https'} and bool(parts.hostname) and parts.port != 0
    except ValueError:
        usable = False
    if not usable:
        raise ValueError('a URL such as http://10.1.0.3:8000 is')
    return written


class _Secret(ValueError):
    """A wrong value that must not be shown: it may be a key in clear."""


def shown(written: Any, error: ValueError) -> str:
    """Return the text of a problem with a value."""
    if isinstance(error, _Secret):
        return f'this value is not allowed; {error}'
    told = str(written)
    told = f'{told[:60]}...' if len(told) > 60 else told
    return f'{told!r} is not allowed; {error}'
