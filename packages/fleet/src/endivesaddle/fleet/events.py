"""Numbered log events; a test compares them with the list in docs/EVENTS.md.

An event is declared once, next to the code that logs it, in the number range
of its package: fleet.budgets 1000, fleet.requests 2000, sidecar runs 2500,
routing 3000, membership 4000, configuration 4500, platform 5000, callers 6000,
operators 7000, daemon 8000, instances 9000.
"""

from typing import Any, NamedTuple

from loguru import logger

_catalogue: dict[int, 'Event'] = {}


class Event(NamedTuple):
    """One kind of event; ``number`` and ``name`` are stable for use in log queries."""

    number: int
    level: str
    name: str
    meaning: str

    def log(self, **fields: Any) -> None:
        """Log one occurrence; field names have their unit as a suffix."""
        bound = logger.bind(event=self.number, name=self.name, fields=fields)
        bound.opt(depth=1).log(self.level, '{} {}', self.name, fields)


def event(number: int, level: str, name: str, meaning: str) -> Event:
    """Declare an event and add it to the catalogue."""
    if number in _catalogue:
        raise ValueError(f'event {number} is declared twice')
    declared = Event(number, level, name, meaning)
    _catalogue[number] = declared
    return declared


def catalogue() -> list[Event]:
    """Return all declared events ordered by number."""
    return [_catalogue[number] for number in sorted(_catalogue)]
