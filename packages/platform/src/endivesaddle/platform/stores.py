"""Registry of the adapters of the configuration store by URL scheme."""

from collections.abc import Callable
from typing import Protocol

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.registry import Registry
from endivesaddle.platform.rate import StoreRate
from endivesaddle.platform.settings import PlatformSettings


class ClosableStore(Store, Protocol):
    """A store with connections to close and a limited call rate."""

    @property
    def rate(self) -> StoreRate:
        """The rate limit for this instance's calls."""

    async def aclose(self) -> None:
        """Close all connections."""


stores: Registry[Callable[[PlatformSettings, Clock], ClosableStore]] = Registry('kind of store')
