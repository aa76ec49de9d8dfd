"""Which instance keeps the grants of a group of accounts: the same for all routers.

Sidecars come first, by highest random weight; routers keep grants where no sidecar does.
"""

import heapq
from collections.abc import Collection, Mapping
from typing import Protocol

import xxhash

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.address_backoff import AddressBackoff

AVOID_S = 2.0
"""A keeper that did not answer is passed over for so long; one that stops, for longer."""
LEAVING_S = 10.0
TRIED = 3
"""Keepers that a request may ask, one after the other."""


class Instances(Protocol):
    """The instances that are known, once their list was ``loaded``."""

    loaded: bool

    @property
    def sidecars(self) -> Collection[str]:
        """Addresses of the sidecars."""

    @property
    def others(self) -> Mapping[str, str]:
        """Addresses of the other routers by lifetime."""


class AllocatorChoice:
    """The keepers as one router sees them."""

    def __init__(self, instances: Instances, own_address: str, clock: Clock) -> None:
        """Choose among ``instances``, the own one last."""
        self._instances = instances
        self._own_address = own_address
        self._avoided = AddressBackoff(clock, AVOID_S)
        self._ranked_of: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._ranked: dict[int, list[str]] = {}

    @property
    def known(self) -> bool:
        """Whether the instances were looked for.

        Before, each router would take itself for the keeper of all accounts, and hold an eighth
        of what is left of each for nobody.
        """
        return self._instances.loaded

    def ranked(self, group: int) -> list[str]:
        """Return the addresses to ask for a group, the keeper first."""
        sidecars = tuple(one for one in self._instances.sidecars if self.usable(one))
        routers: tuple[str, ...] = (self._own_address,)
        if not sidecars:
            others = self._instances.others.values()
            routers = (*(one for one in others if self.usable(one)), self._own_address)
        if (sidecars, routers) != self._ranked_of:
            self._ranked_of = (sidecars, routers)
            self._ranked.clear()
        if group not in self._ranked:
            self._ranked[group] = _first(group, sidecars) + _first(group, routers)
        return self._ranked[group][:TRIED]

    def avoid(self, address: str, for_s: float = AVOID_S) -> None:
        """Pass an instance over for a while."""
        self._avoided.record_failure(address, for_s)

    def usable(self, address: str) -> bool:
        """Tell whether an instance is not passed over."""
        return self._avoided.usable(address)


def _first(group: int, addresses: Collection[str]) -> list[str]:
    return heapq.nlargest(TRIED - 1, addresses, key=lambda address: _weight(group, address))


def _weight(group: int, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{group}/{address}'.encode())
