"""Read the values of the query language: numbers, times, flags, text.

Each kind of value has one reader, which raises ``ValueError`` that says what is
allowed.
"""

import datetime
import re
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

from endivesaddle.fleet.registry import Registry

Value = str | float | bool
Reader = TypeVar('Reader', bound=Callable[..., Any])
_UNITS_S = MappingProxyType({'d': 86400, 'h': 3600, 'm': 60, 's': 1})
_DURATION = re.compile(r'(?:\d+(?:\.\d+)?[dhms])+')
_DURATION_PART = re.compile(r'(\d+(?:\.\d+)?)([dhms])')
_NUMBER = re.compile(r'(-?\d{1,15}(?:\.\d{1,6})?)([kM]?)')
_FACTORS = MappingProxyType({'': 1, 'k': 1000, 'M': 1_000_000})
_FLAGS = MappingProxyType({'true': True, 'yes': True, 'false': False, 'no': False})
_DAY_S = 86400
_DATE_LENGTH = 10
_LONGEST_S = 100 * 366 * _DAY_S
_LATEST_UNIX_S = 253_402_300_800


class Kind(NamedTuple):
    """A kind of value: its reader, and which forms of term it takes besides exact.

    ``read(text, now_unix_s)`` returns the lowest and the highest value that the
    text stands for: a date stands for its whole day.
    """

    name: str
    read: Callable[[str, float | None], tuple[Value, Value]]
    ranges: bool
    parts: bool


KINDS: Registry[Kind] = Registry('kind of value')


def _kind(name: str, ranges: bool, parts: bool) -> Callable[[Reader], Reader]:
    def decorator(reader: Reader) -> Reader:
        KINDS.add(name)(Kind(name, reader, ranges, parts))
        return reader

    return decorator


@_kind('text', ranges=False, parts=True)
def text(written: str, _now_unix_s: float | None = None) -> tuple[str, str]:
    """Take any text."""
    return written, written


@_kind('flag', ranges=False, parts=False)
def flag(written: str, _now_unix_s: float | None = None) -> tuple[bool, bool]:
    """Read yes or no."""
    try:
        found = _FLAGS[written.lower()]
    except KeyError:
        raise ValueError('yes or no is allowed') from None
    return found, found


@_kind('number', ranges=True, parts=False)
def number(written: str, _now_unix_s: float | None = None) -> tuple[float, float]:
    """Read a number such as 500, 1.5k or 2M."""
    match = _NUMBER.fullmatch(written)
    if match is None:
        raise ValueError('a number such as 500, 1.5k or 2M is allowed')
    found = float(match[1]) * _FACTORS[match[2]]
    return found, found


@_kind('time', ranges=True, parts=False)
def time(written: str, now_unix_s: float | None = None) -> tuple[float, float]:
    """Read a time: 2h (that long ago), an ISO date or time (UTC), or @ Unix seconds."""
    if _DURATION.fullmatch(written):
        return _ago(written, now_unix_s)
    if written.startswith('@'):
        at_unix_s = number(written[1:])[0]
        return at_unix_s, at_unix_s
    try:
        parsed = datetime.datetime.fromisoformat(written)
    except ValueError:
        raise ValueError(
            'a time such as 2h (ago), 2026-12-02, 2026-12-02T14:30 or @1700000000 is allowed'
        ) from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    lowest_unix_s = parsed.timestamp()
    lasts_s = _DAY_S if len(written) == _DATE_LENGTH else 0
    return lowest_unix_s, lowest_unix_s + lasts_s


def duration(written: str) -> float:
    """Return the seconds of 45s, 30m, 2h, 7d or 1h30m."""
    if not _DURATION.fullmatch(written):
        raise ValueError('a duration such as 45s, 30m, 1h30m or 7d is allowed')
    parts = _DURATION_PART.findall(written)
    return sum(float(amount) * _UNITS_S[unit] for amount, unit in parts)


def iso(at_unix_s: float) -> str:
    """Write a time as ISO in UTC; empty for 0, which stands for never."""
    if not 0 < at_unix_s < _LATEST_UNIX_S:
        return ''
    at = datetime.datetime.fromtimestamp(at_unix_s, datetime.UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%S')


def _ago(written: str, now_unix_s: float | None) -> tuple[float, float]:
    if now_unix_s is None:
        raise ValueError('only a time that is not relative is allowed here')
    ago_s = duration(written)
    if ago_s > _LONGEST_S:
        raise ValueError('at most a hundred years ago is allowed')
    return now_unix_s - ago_s, now_unix_s - ago_s
