"""Who else forwards: each router's entry in the store, kept by a lease."""

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreUnsure
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.routes import events

PREFIX = 'endivesaddle/routers/'
LEASE_S = 25
"""An entry outlives its router by this, and an outage of the store of up to 20 s."""
RENEW_S = 4.0
"""Between renewals, each with a look for others."""
HEARD_S = 3.0
"""A router that talked here so lately is there, whatever the store says."""
FIRST_LOOKS = 3
FIRST_LOOK_S = 0.7
"""All routers start at once: soon after the start each looks again for the others."""
CALL_S = 0.6
AWAY_S = 0.5


class Roster:
    """The other routers by lifetime, and this one's own entry."""

    def __init__(self, store: Store, clock: Clock, lifetime: str, address: str) -> None:
        """Enter ``lifetime`` with the address at which other routers reach it."""
        self.others: dict[str, str] = {}
        self._heard: dict[str, float] = {}
        self._store = store
        self._clock = clock
        self._lifetime = lifetime
        self._address = address
        self._lease_id = 0

    async def run(self) -> None:
        """Keep the entry and look for others until cancelled."""
        looks = 0
        while True:
            try:
                await self._keep()
                await self._look()
                looks += 1
            except (StoreUnreachable, StoreUnsure) as error:
                # Whoever is known stays known: the other routers are reached without the store.
                events.ROSTER_LOST.log(reason=str(error), routers=len(self.others))
                await anyio.sleep(AWAY_S)
                continue
            await anyio.sleep(FIRST_LOOK_S if looks < FIRST_LOOKS else RENEW_S)

    def heard(self, lifetime: str, address: str) -> None:
        """Take in a router that made itself known by a call."""
        if lifetime != self._lifetime:
            self._heard[lifetime] = self._clock.now_s()
            _enter(self.others, lifetime, address)

    async def _keep(self) -> None:
        deadline_unix_s = self._clock.now_s() + CALL_S
        if self._lease_id and await self._store.keep_alive(self._lease_id, deadline_unix_s):
            return
        self._lease_id = await self._store.grant(LEASE_S, deadline_unix_s)
        key = PREFIX + self._lifetime
        stored = await self._store.read(key, deadline_unix_s)
        version = getattr(stored, 'version', 0)
        value = msgspec.json.encode(self._address)
        await self._store.swap(key, value, version, deadline_unix_s, self._lease_id)

    async def _look(self) -> None:
        found = await self._store.list(PREFIX, self._clock.now_s() + CALL_S)
        others: dict[str, str] = {}
        by_age = sorted(found, key=lambda entry: entry.version)
        for entry in by_age:
            if entry.value is not None:
                _enter(others, entry.key.removeprefix(PREFIX), msgspec.json.decode(entry.value))
        latest_unix_s = self._clock.now_s() - HEARD_S
        for lifetime, address in self.others.items():
            if self._heard.get(lifetime, 0) > latest_unix_s:
                _enter(others, lifetime, address)
        others.pop(self._lifetime, None)
        if others.keys() != self.others.keys():
            events.ROSTER.log(routers=len(others) + 1)
        self.others = others


def _enter(others: dict[str, str], lifetime: str, address: str) -> None:
    """Enter a life at its address; an address has one life at a time, the newest."""
    for name in [one for one, other in others.items() if other == address]:
        del others[name]
    others[lifetime] = address
