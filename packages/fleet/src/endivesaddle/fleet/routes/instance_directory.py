"""Who else is there: each instance's entry in the store, kept by a lease."""

from typing import NamedTuple

import anyio
import msgspec
import xxhash

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.routes import store_events as events
from endivesaddle.fleet.routes.remote_store import ForwardStore

PREFIX = 'endivesaddle/live/'
ROUTER = 'router'
SIDECAR = 'sidecar'
LEASE_S = 25
"""A router's entry outlives it by this, and an outage of the store of up to 20 s."""
RENEW_S = 4.0
"""Between renewals, each with a look for others."""
SIDECAR_LEASE_S = 90
"""A sidecar that is gone costs a router one call that fails; renewals cost all day."""
SIDECAR_RENEW_S = 25.0
HEARD_S = 3.0
"""A router that talked here so lately is there, whatever the store says."""
FIRST_LOOKS = 3
FIRST_LOOK_S = 0.7
"""All routers start at once: soon after the start each looks again for the others."""
FEW_ROUTERS = 8
"""Up to so many routers follow the store each for itself."""
CALL_S = 0.6
AWAY_S = 0.5


class Instance(NamedTuple):
    """One life of an instance, and where others reach it ("ip:port")."""

    role: str
    lifetime: str
    address: str
    data_centre: str


class InstanceEntry:
    """This instance's own entry in the store."""

    def __init__(
        self, store: ForwardStore, clock: Clock, own: Instance, lease_s: int = LEASE_S
    ) -> None:
        """Enter ``own``; the entry outlives it by ``lease_s``."""
        self.own = own
        self._store = store
        self._clock = clock
        self._lease_s = lease_s
        self._lease_id = 0
        self._ended = False

    async def renew(self) -> None:
        """Renew the entry, or enter; raises what the store raises."""
        if self._ended:
            return
        deadline_unix_s = self._clock.now_s() + CALL_S
        if self._lease_id and await self._store.keep_alive(self._lease_id, deadline_unix_s):
            return
        lease_id = await self._store.grant(self._lease_s, deadline_unix_s)
        key = f'{PREFIX}{self.own.role}/{self.own.lifetime}'
        value = msgspec.json.encode(self.own)
        # A conflict tells that an earlier try, whose answer was lost, has entered this life.
        await self._store.swap(key, value, 0, deadline_unix_s, lease_id)
        self._lease_id = lease_id

    async def remove(self) -> None:
        """Take the entry away: a sidecar that stops is asked for nothing more.

        Without it one that was replaced stayed on record for 90 s, and each call to it took all
        the time that the call may.  Routers stay: while one starts again, the others would take
        its part of the repeats that a service bears.
        """
        self._ended = True
        if not self._lease_id:
            return
        try:
            await self._store.end_lease(self._lease_id, self._clock.now_s() + CALL_S)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            events.ENTRY_UNKEPT.log(reason=str(error))

    async def run(self, renew_s: float) -> None:
        """Keep the entry until cancelled, without looking for others."""
        while True:
            try:
                await self.renew()
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                events.ENTRY_UNKEPT.log(reason=str(error))
                await anyio.sleep(AWAY_S)
                continue
            await anyio.sleep(renew_s)


class InstanceDirectory:
    """The other routers by lifetime, the sidecars, and this router's own entry.

    It is ``settled`` once routers that start at the same time have been looked for.
    """

    def __init__(self, store: ForwardStore, clock: Clock, own: Instance) -> None:
        """Enter ``own`` and look for others."""
        self.others: dict[str, str] = {}
        self.sidecars: tuple[str, ...] = ()
        self.loaded = False
        self.settled = False
        self._near: tuple[str, ...] = ()
        self._all: tuple[str, ...] = ()
        self._entry = InstanceEntry(store, clock, own)
        self._heard: dict[str, float] = {}
        self._store = store
        self._clock = clock
        self._own = own

    @property
    def relays(self) -> tuple[str, ...]:
        """Addresses of all that may reach the store for this router, sidecars first."""
        return (*self.sidecars, *sorted(self.others.values()))

    @property
    def hubs(self) -> tuple[str, ...]:
        """Sidecars through which the routers of this data centre follow the store together.

        With few routers there are none: a sidecar's polls cost as many calls as theirs.
        """
        return self._near if len(self.others) + 1 > FEW_ROUTERS else ()

    @property
    def aggregators(self) -> tuple[str, ...]:
        """Sidecars that have a board for all routers, the same order for all; none for few."""
        return self._all if len(self.others) + 1 > FEW_ROUTERS else ()

    async def run(self) -> None:
        """Keep the entry and look for others until cancelled."""
        looks = 0
        while True:
            try:
                await self._entry.renew()
                await self._look()
                looks += 1
                self.settled = self.settled or looks >= FIRST_LOOKS
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                # Whoever is known stays known: the other routers are reached without the store.
                events.ROSTER_LOST.log(reason=str(error), routers=len(self.others))
                await anyio.sleep(AWAY_S)
                continue
            await anyio.sleep(FIRST_LOOK_S if looks < FIRST_LOOKS else RENEW_S)

    def note_call(self, lifetime: str, address: str) -> None:
        """Take in a router that made itself known by a call."""
        if lifetime != self._own.lifetime:
            self._heard[lifetime] = self._clock.now_s()
            _enter(self.others, lifetime, address)

    async def _look(self) -> None:
        found = await self._store.list_stale(PREFIX, self._clock.now_s() + CALL_S)
        entries = [
            msgspec.json.decode(stored.value, type=Instance)
            for stored in sorted(found, key=lambda stored: stored.version)
            if stored.value is not None
        ]
        own = [one for one in entries if one.address == self._own.address]
        # The life before at this address was seen by the others, and saw them.
        self.settled = self.settled or any(one.lifetime != self._own.lifetime for one in own)
        others: dict[str, str] = {}
        for router in entries:
            if router.role == ROUTER:
                _enter(others, router.lifetime, router.address)
        latest_unix_s = self._clock.now_s() - HEARD_S
        for lifetime, address in self.others.items():
            if self._heard.get(lifetime, 0) > latest_unix_s:
                _enter(others, lifetime, address)
        others.pop(self._own.lifetime, None)
        if others.keys() != self.others.keys():
            events.ROSTER.log(routers=len(others) + 1)
        self.others = others
        self.loaded = True
        self._learn_sidecars([entry for entry in entries if entry.role == SIDECAR])

    def _learn_sidecars(self, entries: list[Instance]) -> None:
        """Order the sidecars: those of this data centre first, and not all routers alike."""
        addresses = [entry.address for entry in sorted(entries, key=self._distance)]
        self.sidecars = tuple(dict.fromkeys(addresses))
        near = {one.address for one in entries if one.data_centre == self._own.data_centre}
        self._near = tuple(sorted(near, key=_weight))
        self._all = tuple(sorted(self.sidecars, key=_weight))

    def _distance(self, entry: Instance) -> tuple[bool, int]:
        far = entry.data_centre != self._own.data_centre
        return far, xxhash.xxh3_64_intdigest(f'{self._own.lifetime}/{entry.lifetime}'.encode())


def _weight(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())


def _enter(others: dict[str, str], lifetime: str, address: str) -> None:
    """Enter a life at its address; an address has one life at a time, the newest."""
    for name in [one for one, other in others.items() if other == address]:
        del others[name]
    others[lifetime] = address
