"""Choose the instance that owns the grants of a group of accounts, the same for all routers.

Sidecars come first, in the order of rendezvous hashing (highest random weight).  A router owns the
grants if there is no usable sidecar.
"""

import heapq
from collections.abc import Collection, Mapping
from typing import Protocol

import xxhash

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.address_backoff import AddressBackoff

AVOID_S = 2.0
"""An allocator that did not answer is avoided for this long, one that is stopping for longer."""
LEAVING_S = 10.0
MAX_TRIED = 3
"""Number of allocators that a request may ask, one after the other."""


class Instances(Protocol):
    """The other instances; ``loaded`` once their list has been read from the store."""

    loaded: bool

    @property
    def sidecars(self) -> Collection[str]:
        """Addresses of the sidecars."""

    @property
    def others(self) -> Mapping[str, str]:
        """Addresses of the other routers by lifetime."""


class AllocatorChoice:
    """The allocators as one router sees them."""

    def __init__(self, instances: Instances, own_address: str, clock: Clock) -> None:
        """Choose among ``instances``; this router itself is the last resort."""
        self._instances = instances
        self._own_address = own_address
        self._backoff = AddressBackoff(clock, AVOID_S)
        self._ranked_from: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._ranked: dict[int, list[str]] = {}

    @property
    def loaded(self) -> bool:
        """Whether the list of instances has been loaded.

        Before that, each router would consider itself the allocator of all accounts, and hold an
        eighth of the rest of each total without need.
        """
        return self._instances.loaded

    def ranked(self, group: int) -> list[str]:
        """Return the addresses to ask for a group, the owner first."""
        sidecars = tuple(one for one in self._instances.sidecars if self.usable(one))
        routers: tuple[str, ...] = (self._own_address,)
        if not sidecars:
            others = self._instances.others.values()
            routers = (*(one for one in others if self.usable(one)), self._own_address)
        if (sidecars, routers) != self._ranked_from:
            self._ranked_from = (sidecars, routers)
            self._ranked.clear()
        if group not in self._ranked:
            self._ranked[group] = _first(group, sidecars) + _first(group, routers)
        return self._ranked[group][:MAX_TRIED]

    def owner(self, group: int) -> str:
        """Return the owner of a group, also while it is being avoided."""
        routers = (*self._instances.others.values(), self._own_address)
        return _first(group, self._instances.sidecars or routers)[0]

    def avoid(self, address: str, for_s: float = AVOID_S) -> None:
        """Avoid an instance for ``for_s`` seconds."""
        self._backoff.record_failure(address, for_s)

    def usable(self, address: str) -> bool:
        """Tell whether an instance is not being avoided."""
        return self._backoff.usable(address)


def _first(group: int, addresses: Collection[str]) -> list[str]:
    return heapq.nlargest(MAX_TRIED - 1, addresses, key=lambda address: _weight(group, address))


def _weight(group: int, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{group}/{address}'.encode())
