"""Policies for forwarded requests while no server has capacity, by name."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.candidates import NoServer
from endivesaddle.fleet.routing.forward_waiting import Arrival
from endivesaddle.fleet.routing.server_slots import Hold
from endivesaddle.fleet.sentinels import Refusal

HasRoom = Callable[[Backend], bool]


class Placing(Protocol):
    """How requests are placed on servers, with the knowledge at the time of the call."""

    def open_backends(self, arrival: Arrival) -> Sequence[Backend]:
        """Return the servers that may get a request now."""

    def why_none(self, arrival: Arrival) -> NoServer:
        """Return why no server may get a request."""

    def refuse_no_server(self, arrival: Arrival) -> Refusal:
        """Refuse a request that no server may get."""

    async def choose(
        self, arrival: Arrival, backends: Sequence[Backend], has_room: HasRoom
    ) -> Backend | None:
        """Choose among ``backends`` and count the request against the server's limits.

        Returns None if none of them has capacity any more.
        """


class WaitingPolicy(Protocol):
    """What happens to a request that no server has capacity for."""

    async def run(self) -> None:
        """Do what is due in the background until cancelled."""

    async def place(self, arrival: Arrival) -> Hold | Refusal:
        """Place a request on a server."""

    def first_event(self, hold: Hold) -> None:
        """Record the first event of a response."""

    def ended(self, hold: Hold, success: bool) -> None:
        """Record that a request has ended; called once for each hold."""

    def declined(self, hold: Hold) -> None:
        """Record that the server rejected a request as full."""

    def reports_applied(self, routers: int, unheard: int) -> None:
        """Apply new reports; the counts of ``unheard`` of the other routers are unknown."""

    def servers_changed(self) -> None:
        """Apply that the list of servers changed."""

    def stop(self, refuse: Callable[[], Refusal]) -> None:
        """Reject waiting requests from now on, as this router stops."""

    def counters(self) -> dict[str, float]:
        """Return counters and queue lengths."""

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state by service."""


class WaitingParts:
    """What a policy decides with."""

    def __init__(self, placing: Placing, clock: Clock, random: Random) -> None:
        """Initialize with the parts of one router."""
        self.placing = placing
        self.clock = clock
        self.random = random


waiting_policies: Registry[Callable[[WaitingParts], WaitingPolicy]] = Registry('waiting policy')


@waiting_policies.add('off')
class NoWaiting:
    """Sends each request to a server at once, whatever its load."""

    def __init__(self, parts: WaitingParts) -> None:
        """Initialize without state."""
        self._parts = parts

    async def run(self) -> None:
        """Do nothing."""

    async def place(self, arrival: Arrival) -> Hold | Refusal:
        """Choose among all servers that may get the request."""
        placing = self._parts.placing
        backends = placing.open_backends(arrival)
        backend = await placing.choose(arrival, backends, _always) if backends else None
        if backend is None:
            return placing.refuse_no_server(arrival)
        return Hold(backend, arrival.need, self._parts.clock.now_s())

    def first_event(self, hold: Hold) -> None:
        """Learn nothing."""

    def ended(self, hold: Hold, success: bool) -> None:
        """Learn nothing."""

    def declined(self, hold: Hold) -> None:
        """Learn nothing."""

    def reports_applied(self, routers: int, unheard: int) -> None:
        """Ignore reports."""

    def servers_changed(self) -> None:
        """Do nothing."""

    def stop(self, refuse: Callable[[], Refusal]) -> None:
        """Reject nothing: no request waits."""

    def counters(self) -> dict[str, float]:
        """Return no counters."""
        return {}

    def dump(self) -> dict[str, dict[str, float]]:
        """Return no state."""
        return {}


def _always(backend: Backend) -> bool:
    return True
