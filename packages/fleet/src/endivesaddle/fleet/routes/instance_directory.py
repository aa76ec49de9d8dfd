"""The other instances: each registers an entry in the store under a lease."""

from collections.abc import Callable, Iterable, Sequence
from typing import Annotated, NamedTuple, Protocol

import anyio
import msgspec
import xxhash

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes import address_patterns
from endivesaddle.fleet.routes import store_events as events
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.store_versions import StoreVersions
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.fleet.routing.slack_share import FleetView

PREFIX = 'endivesaddle/live/'
ROUTER = 'router'
SIDECAR = 'sidecar'
LEASE_S = 25
"""A router's entry remains this long after the router ends; it also survives a store outage of up
to 20 s."""
RENEW_S = 4.0
"""Time between renewals of a router's entry; each renewal also lists the other instances."""
SIDECAR_LEASE_S = 90
"""Longer than for a router: a lost sidecar costs one failed call, renewals cost calls all day."""
SIDECAR_RENEW_S = 25.0
CALLED_S = 3.0
"""A router that called this instance within this time counts as running, whatever is on record."""
FIRST_LIST_COUNT = 3
FIRST_LIST_S = 0.7
"""Routers may all start together, so that each soon lists the others again."""
MAX_FOLLOWERS = 8
"""Up to this many routers, each follows the store by itself."""
TIMEOUT_S = 0.6
RETRY_S = 0.5


class DirectoryStore(ForwardStore, Protocol):
    """A store that knows which versions it had when."""

    versions: StoreVersions


class Instance(NamedTuple):
    """One incarnation of an instance, and the address ("ip:port") where others reach it."""

    role: str
    incarnation: str
    address: Annotated[str, msgspec.Meta(pattern=address_patterns.ANY_HOST)]
    data_centre: str


_decoder: JsonDecoder[Instance] = JsonDecoder(Instance)


class InstanceEntry:
    """This instance's own entry in the store."""

    def __init__(
        self, store: ForwardStore, clock: Clock, own: Instance, lease_s: int = LEASE_S
    ) -> None:
        """Register ``own``; the entry remains for ``lease_s`` after the last renewal."""
        self.own = own
        self._store = store
        self._clock = clock
        self._lease_s = lease_s
        self._lease_id = 0
        self._ended = False

    async def renew(self) -> None:
        """Renew the entry, or create it if there is none.

        Raises ``StoreUnreachable`` or ``StoreWriteUnconfirmed``.
        """
        if self._ended:
            return
        deadline_unix_s = self._clock.now_s() + TIMEOUT_S
        if self._lease_id and await self._store.keep_alive(self._lease_id, deadline_unix_s):
            return
        lease_id = await self._store.grant(self._lease_s, deadline_unix_s)
        key = f'{PREFIX}{self.own.role}/{self.own.incarnation}'
        value = msgspec.json.encode(self.own)
        # A conflict means that an earlier try, whose answer was lost, created the entry.
        await self._store.swap(key, value, 0, deadline_unix_s, lease_id)
        self._lease_id = lease_id

    async def remove(self) -> None:
        """Remove the entry of a sidecar that stops, so that routers stop calling it.

        Without this, a replaced sidecar stayed on record for 90 s, and each call to it took its
        whole time limit.  Routers keep their entries: while a router restarts, the others would
        otherwise take over its share of the retries that a service can bear.
        """
        self._ended = True
        if not self._lease_id:
            return
        try:
            await self._store.end_lease(self._lease_id, self._clock.now_s() + TIMEOUT_S)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            events.ENTRY_NOT_RENEWED.log(reason=str(error))

    async def run(self, renew_s: float) -> None:
        """Renew the entry until cancelled, without listing other instances."""
        while True:
            try:
                await self.renew()
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                events.ENTRY_NOT_RENEWED.log(reason=str(error))
                await anyio.sleep(RETRY_S)
                continue
            await anyio.sleep(renew_s)


async def list_instances(
    store: ForwardStore, unreadable: UnreadableValues, deadline_unix_s: float
) -> list[Instance]:
    """Return the registered instances, the latest last; raises ``StoreUnreachable``."""
    found = await store.list_stale(PREFIX, deadline_unix_s)
    return decode_instances(found.entries, unreadable)


def decode_instances(entries: Iterable[Stored], unreadable: UnreadableValues) -> list[Instance]:
    """Return the instances of stored entries, the latest last; ``unreadable`` logs the others."""
    instances: list[Instance] = []
    for stored in sorted(entries, key=lambda entry: entry.version):
        try:
            instances.append(_decoder.decode(stored.value or b''))
        except UnreadableValue as error:
            unreadable.note(stored, error)
    return instances


class InstanceDirectory:
    """The other routers by incarnation, the sidecars, and this router's own entry.

    It is ``settled`` once routers that started at the same time have had time to register.
    """

    def __init__(self, store: DirectoryStore, clock: Clock, own: Instance) -> None:
        """Initialize without other instances; ``run`` registers ``own`` and lists the others.

        ``view_listeners`` are called with each list of the routers on record.
        """
        self.view_listeners: list[Callable[[FleetView], None]] = []
        self.others: dict[str, str] = {}
        self.sidecars: tuple[str, ...] = ()
        self.sidecar_instances: tuple[Instance, ...] = ()
        self.loaded = False
        self.settled = False
        self._local_sidecars: tuple[str, ...] = ()
        self._all_sidecars: tuple[str, ...] = ()
        self._entry = InstanceEntry(store, clock, own)
        self._called_unix_s: dict[str, float] = {}
        self._store = store
        self._clock = clock
        self._own = own
        self._unreadable = UnreadableValues()

    @property
    def relays(self) -> tuple[str, ...]:
        """Addresses of instances that may relay store calls of this router, sidecars first."""
        return (*self.sidecars, *sorted(self.others.values()))

    @property
    def hubs(self) -> tuple[str, ...]:
        """Sidecars through which the routers of this data centre follow the store together.

        Empty with few routers: a sidecar's polls cost as many calls as theirs.
        """
        return self._local_sidecars if len(self.others) + 1 > MAX_FOLLOWERS else ()

    @property
    def aggregators(self) -> tuple[str, ...]:
        """Sidecars that aggregate reports, in the same order for all routers; none with few."""
        return self._all_sidecars if len(self.others) + 1 > MAX_FOLLOWERS else ()

    async def run(self) -> None:
        """Renew the entry and list the other instances until cancelled."""
        lists = 0
        while True:
            try:
                await self._entry.renew()
                await self._list()
                lists += 1
                self.settled = self.settled or lists >= FIRST_LIST_COUNT
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                # Keep the known instances: the other routers can be reached without the store.
                events.ROUTERS_UNREFRESHED.log(reason=str(error), routers=len(self.others))
                await anyio.sleep(RETRY_S)
                continue
            await anyio.sleep(FIRST_LIST_S if lists < FIRST_LIST_COUNT else RENEW_S)

    def note_call(self, incarnation: str, address: str) -> None:
        """Add a router that has called this instance."""
        if incarnation != self._own.incarnation:
            self._called_unix_s[incarnation] = self._clock.now_s()
            _add(self.others, incarnation, address)

    async def _list(self) -> None:
        found = await self._store.list_stale(PREFIX, self._clock.now_s() + TIMEOUT_S)
        entries = decode_instances(found.entries, self._unreadable)
        own = [one for one in entries if one.address == self._own.address]
        # The previous incarnation at this address was known to the others, and knew them.
        self.settled = self.settled or any(one.incarnation != self._own.incarnation for one in own)
        # The last incarnation at each address; the entries are in the order of their versions.
        latest = {entry.address: entry.incarnation for entry in entries if entry.role == ROUTER}
        latest_unix_s = self._clock.now_s() - CALLED_S
        for incarnation, at_address in self.others.items():
            if self._called_unix_s.get(incarnation, 0) > latest_unix_s:
                latest[at_address] = incarnation
        others = {latest[address]: address for address in latest}
        others.pop(self._own.incarnation, None)
        if others.keys() != self.others.keys():
            events.ROUTERS_KNOWN.log(routers=len(others) + 1)
        self.others = others
        self.loaded = True
        self._notify(entries, self._store.versions.as_of_unix_s(found.version))
        self._update_sidecars([entry for entry in entries if entry.role == SIDECAR])

    def _notify(self, entries: Sequence[Instance], as_of_unix_s: float) -> None:
        routers = [entry for entry in entries if entry.role == ROUTER]
        registered = any(entry.incarnation == self._own.incarnation for entry in routers)
        view = FleetView(
            self._own.address if registered else '',
            frozenset(entry.address for entry in routers),
            as_of_unix_s,
        )
        for listener in self.view_listeners:
            listener(view)

    def _update_sidecars(self, entries: list[Instance]) -> None:
        """Order the sidecars: those of this data centre first, then differently in each router."""
        addresses = [entry.address for entry in sorted(entries, key=self._distance)]
        self.sidecars = tuple(dict.fromkeys(addresses))
        self.sidecar_instances = tuple(entries)
        near = {one.address for one in entries if one.data_centre == self._own.data_centre}
        self._local_sidecars = tuple(sorted(near, key=_weight))
        self._all_sidecars = tuple(sorted(self.sidecars, key=_weight))

    def _distance(self, entry: Instance) -> tuple[bool, int]:
        far = entry.data_centre != self._own.data_centre
        return far, xxhash.xxh3_64_intdigest(
            f'{self._own.incarnation}/{entry.incarnation}'.encode()
        )


def _weight(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())


def _add(others: dict[str, str], incarnation: str, address: str) -> None:
    """Add an incarnation, and remove earlier ones at its address."""
    for name in [one for one, other in others.items() if other == address]:
        del others[name]
    others[incarnation] = address
