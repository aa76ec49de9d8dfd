"""Which router should hold a shard in a data centre, by rendezvous hashing."""

from collections.abc import Collection

from endivesaddle.fleet.configuration import SHARD_COUNT, rendezvous
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView

_ROUTER = 'router'


class ShardAssignment:
    """The routers that should hold the shards, as this instance sees the fleet.

    ``shards`` are those that are held at all: all, but in tests of one.
    """

    def __init__(self, identity: Identity, view: FleetView) -> None:
        """Look from one instance."""
        self._identity = identity
        self._view = view
        self.shards: Collection[int] = range(SHARD_COUNT)
        self._known: dict[str, tuple[tuple[str, ...], list[str]]] = {}

    def own_shards(self) -> list[int]:
        """Return the shards that this instance should hold."""
        first = self._first(self._identity.data_centre)
        own = self._identity.instance
        return [shard for shard in self.shards if first and first[shard] == own]

    def address(self, shard: int, data_centre: str) -> str:
        """Return the address of the router that should hold a shard; '' without any.

        Failure: the only router of a data centre is told to stop.  Symptom: it finds
        no holder to settle its last requests with, and waits for one until its time
        to stop is over.  As nobody took its shards over, it still answers for them.
        """
        first = self._first(data_centre)
        if not first:
            own = self._identity
            here = own.role == _ROUTER and own.data_centre == data_centre
            return own.address if here else ''
        return self._addresses(data_centre)[first[shard]]

    def _addresses(self, data_centre: str) -> dict[str, str]:
        addresses = {
            member.instance: member.address
            for member in self._view.members(_ROUTER, data_centre)
            if not self._view.leaving(member.instance)
        }
        own = self._identity
        here = own.role == _ROUTER and own.data_centre == data_centre
        if here and not self._view.leaving(own.instance):
            addresses[own.instance] = own.address
        return addresses

    def _first(self, data_centre: str) -> list[str]:
        names = tuple(sorted(self._addresses(data_centre)))
        known = self._known.get(data_centre)
        if known is None or known[0] != names:
            first = [
                rendezvous(f'budgets/{shard}', list(names))[0]
                for shard in range(SHARD_COUNT)
                if names
            ]
            known = (names, first)
            self._known[data_centre] = known
        return known[1]
