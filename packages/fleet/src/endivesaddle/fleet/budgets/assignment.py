"""Assignment of shards to the routers of a data centre by rendezvous hashing."""

from collections.abc import Collection

from endivesaddle.fleet.configuration import SHARD_COUNT, rendezvous
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView

_ROUTER = 'router'


class ShardAssignment:
    """The router assigned to each shard, based on this instance's view of the fleet.

    ``shards`` are the shards in use: all of them, except in tests of a single shard.
    """

    def __init__(self, identity: Identity, view: FleetView) -> None:
        """Initialize for the instance ``identity``."""
        self._identity = identity
        self._view = view
        self.shards: Collection[int] = range(SHARD_COUNT)
        self._cache: dict[str, tuple[tuple[str, ...], list[str]]] = {}

    def own_shards(self) -> list[int]:
        """Return the shards assigned to this instance."""
        assigned = self._assigned(self._identity.data_centre)
        own = self._identity.instance
        return [shard for shard in self.shards if assigned and assigned[shard] == own]

    def address(self, shard: int, data_centre: str) -> str:
        """Return the address of the router assigned to a shard, or '' if there is none.

        Failure: the only router of a data centre has to stop.  Symptom: it finds no
        holder with which to settle its last requests, and waits for one until its stop
        times out.  No other router takes over its shards, so it still serves them itself.
        """
        assigned = self._assigned(data_centre)
        if not assigned:
            own = self._identity
            is_local = own.role == _ROUTER and own.data_centre == data_centre
            return own.address if is_local else ''
        return self._addresses(data_centre)[assigned[shard]]

    def _addresses(self, data_centre: str) -> dict[str, str]:
        addresses = {
            member.instance: member.address
            for member in self._view.members(_ROUTER, data_centre)
            if not self._view.leaving(member.instance)
        }
        own = self._identity
        is_local = own.role == _ROUTER and own.data_centre == data_centre
        if is_local and not self._view.leaving(own.instance):
            addresses[own.instance] = own.address
        return addresses

    def _assigned(self, data_centre: str) -> list[str]:
        names = tuple(sorted(self._addresses(data_centre)))
        cached = self._cache.get(data_centre)
        if cached is None or cached[0] != names:
            assigned = [
                rendezvous(f'budgets/{shard}', list(names))[0]
                for shard in range(SHARD_COUNT)
                if names
            ]
            cached = (names, assigned)
            self._cache[data_centre] = cached
        return cached[1]
