"""The instances that beat to this router, and their silence."""

import dataclasses
from collections.abc import Iterator
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.membership import records
from endivesaddle.fleet.membership.settings import MembershipSettings


@dataclasses.dataclass
class Child:
    """One instance that beats here; ``sequence`` is that of its last beat."""

    instance: str
    role: str
    address: str
    incarnation: int
    sequence: int
    heard_unix_s: float
    revision: int
    state: str = records.LIVE


class Silent(NamedTuple):
    """A child whose state its silence has made worse."""

    child: Child
    state: str


class Children:
    """All children by instance."""

    def __init__(self, settings: MembershipSettings, clock: Clock) -> None:
        """Start without any."""
        self._settings = settings
        self._clock = clock
        self._children: dict[str, Child] = {}

    def find(self, instance: str) -> Child | None:
        """Return a child."""
        return self._children.get(instance)

    def add(self, child: Child) -> None:
        """Take in an instance that beats here now."""
        self._children[child.instance] = child

    def drop(self, instance: str) -> None:
        """Let go an instance that beats elsewhere or is gone."""
        self._children.pop(instance, None)

    def silent(self) -> list[Silent]:
        """Return the children that have become suspect or gone."""
        now_unix_s = self._clock.now_s()
        worse = []
        for child in self._children.values():
            state = self._judge(now_unix_s - child.heard_unix_s)
            if state not in {child.state, records.LIVE}:
                worse.append(Silent(child, state))
        return worse

    def addresses(self, role: str = '') -> list[str]:
        """Return the addresses of the children, of one role or all."""
        return [child.address for child in self if role in {'', child.role}]

    def __iter__(self) -> Iterator[Child]:
        """Iterate over a copy of the children."""
        return iter(list(self._children.values()))

    def _judge(self, silent_s: float) -> str:
        if silent_s > self._settings.gone_s:
            return records.GONE
        return records.SUSPECT if silent_s > self._settings.suspect_s else records.LIVE
