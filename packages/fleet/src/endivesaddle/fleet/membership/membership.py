"""Membership of one instance: what it knows of the others, and its beats."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import records
from endivesaddle.fleet.membership.collector import Collector
from endivesaddle.fleet.membership.exchange import Exchange
from endivesaddle.fleet.membership.instance_list import InstanceList
from endivesaddle.fleet.membership.settings import MembershipSettings
from endivesaddle.fleet.membership.state import RevisionLink, State
from endivesaddle.fleet.membership.uplink import Uplink, tell
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.wire import members_pb2, rpcs, runs_pb2

_COLLECTORS = 2


class Membership:
    """Beat, answer beats, and tell who is live, leaving or gone.

    Routers and sidecars have the same class; only routers answer beats, and
    only they know the load reports and the sidecars.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        identity: Identity,
        peers: Peers,
        clock: Clock,
        instance_list: Callable[[], Awaitable[Mapping[str, str]]] | None = None,
    ) -> None:
        """Join nothing yet; ``instance_list`` reads the platform's list.

        It returns "live" or "leaving" by instance, late; and may raise ``FleetError``.
        """
        self._state = State(settings, identity, clock)
        self._peers = peers
        self._uplink = Uplink(self._state, peers)
        self._collector = Collector(self._state, peers)
        self._exchange = Exchange(self._state, peers)
        self._list = InstanceList(self._state, instance_list)

    def register(self, handlers: Handlers) -> None:
        """Answer the calls of membership."""
        if self._state.is_router:
            handlers.answer(rpcs.BEAT, self._collector.beat)
            handlers.answer(rpcs.EXCHANGE, self._exchange.hear)

    async def run(self) -> None:
        """Beat and answer for good."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._uplink.run)
            if self._state.is_router:
                group.start_soon(self._collector.watch)
                group.start_soon(self._collector.push)
                group.start_soon(self._exchange.run)
                group.start_soon(self._list.run, self._exchange.leads)

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return live and suspect instances of a role, in one data centre or all."""
        return self._state.roster.members(role, data_centre)

    def leaving(self, instance: str) -> bool:
        """Tell whether an instance said that it leaves, or is gone."""
        return self._state.roster.leaving(instance)

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the last load report by backend server name."""
        return self._state.loads.all()

    def sidecar_of(self, server: str) -> str:
        """Return the address of the sidecar beside a backend server, or ''."""
        record = self._state.roster.beside(server)
        if record is None or self._state.roster.state(record) not in records.USABLE:
            return ''
        return record.address

    def report(self, load: runs_pb2.Load) -> None:
        """Have the next beat carry a load report (sidecars)."""
        self._uplink.report(load)

    async def leave(self) -> None:
        """Say at once that this instance leaves; it stays so for this incarnation."""
        state = self._state
        state.own.left = True
        state.announce()
        addresses = {record.address for record in self._first()} - {state.identity.address}
        message = members_pb2.ExchangeRequest(
            address=state.identity.address,
            members=[state.own],
            revision=state.revisions.current(),
        )
        await tell(state, self._peers, sorted(addresses), message)

    def children(self, role: str = '') -> list[str]:
        """Return the addresses of the instances that beat to this router."""
        return self._state.children.addresses(role)

    def collectors(self) -> list[str]:
        """Return the names of the data centre's two collectors, the first one first."""
        return [record.instance for record in self._first()]

    def tell_revision(self) -> None:
        """Have the other data centres told at once that a revision came into force."""
        self._state.exchanges.fire()

    def follow_revisions(
        self, current: Callable[[], int], heard: Callable[[int, str], None]
    ) -> None:
        """Put the configuration's revision on all beats; tell ``heard`` of others' own."""
        self._state.revisions = RevisionLink(current, heard)

    def counters(self) -> dict[str, int]:
        """Return counts for metrics."""
        state = self._state
        states = [state.roster.state(record) for record in state.roster.records]
        counts = {f'members_{name}': states.count(name) for name in set(states)}
        return {
            **counts,
            'children': len(state.children.addresses()),
            'load_reports': len(state.loads.reports),
        }

    def dump(self) -> dict[str, Any]:
        """Return what is known, for a state dump."""
        state = self._state
        return {
            'instance': state.identity.instance,
            'incarnation': state.identity.incarnation,
            'sequence': state.own.sequence,
            'beats_to': self._uplink.link.address,
            'collectors': self.collectors(),
            'children': {child.instance: child.revision for child in state.children},
            'members': {
                record.instance: state.roster.state(record) for record in state.roster.records
            },
            'pulses': len(state.roster.silence.pulses),
            'load_reports': sorted(state.loads.all()),
        }

    def _first(self) -> list[members_pb2.Member]:
        # A suspect collector is not waited for: a live one takes its place, and
        # both may have it for the seconds until this is settled.
        order = self._state.order(self._state.identity.data_centre)
        order.sort(key=lambda record: record.state != records.LIVE)
        return order[:_COLLECTORS]
