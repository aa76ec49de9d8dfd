"""A router, put together from its parts."""

import dataclasses
from typing import Annotated

import anyio
import cappa

from endivesaddle.callers.app import CallersApp, CallersSettings
from endivesaddle.daemon.local_peers import LocalPeers
from endivesaddle.daemon.node import Part, Ports, State, run_all
from endivesaddle.daemon.readiness import Readiness
from endivesaddle.daemon.settings import InstanceSettings, LogSettings
from endivesaddle.fleet.budgets.holder import BudgetHolder
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.distribution import Distribution, DistributionSettings
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import Membership, MembershipSettings
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.requests import Claims, Recorder, RequestFront, RequestSettings
from endivesaddle.fleet.routing import Admission, RoutingSettings
from endivesaddle.fleet.view import View
from endivesaddle.instances import InstancesSettings
from endivesaddle.operators.desk import Desk, DeskPorts
from endivesaddle.operators.query import matcher
from endivesaddle.operators.service import OperatorService
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.platform import PlatformSettings
from endivesaddle.wire import holders_pb2, rpcs

DRAIN_LOOK_S = 0.1
SHARE_LOOK_S = 1.0


@dataclasses.dataclass(frozen=True)
class RouterSettings:
    """All settings of a router."""

    place: Annotated[InstanceSettings, cappa.Arg.destructured()]
    logs: Annotated[LogSettings, cappa.Arg.destructured()] = LogSettings()
    platform: Annotated[PlatformSettings, cappa.Arg.destructured()] = PlatformSettings()
    links: Annotated[InstancesSettings, cappa.Arg.destructured()] = InstancesSettings()
    http: Annotated[CallersSettings, cappa.Arg.destructured()] = CallersSettings()
    operators: Annotated[OperatorSettings, cappa.Arg.destructured()] = OperatorSettings()
    budgets: Annotated[BudgetSettings, cappa.Arg.destructured()] = BudgetSettings()
    requests: Annotated[RequestSettings, cappa.Arg.destructured()] = RequestSettings()
    routing: Annotated[RoutingSettings, cappa.Arg.destructured()] = RoutingSettings()
    membership: Annotated[MembershipSettings, cappa.Arg.destructured()] = MembershipSettings()
    distribution: Annotated[DistributionSettings, cappa.Arg.destructured()] = DistributionSettings()


class Router:
    """One router: callers, admission, budgets, routing; none is special."""

    def __init__(
        self, settings: RouterSettings, identity: Identity, ports: Ports, handlers: Handlers
    ) -> None:
        """Build all parts; ``run`` starts them."""
        self.handlers = handlers
        store, clock = ports.store, ports.clock
        self._identity = identity
        self._rate = ports.rate
        peers = LocalPeers(identity.address, handlers, ports.peers, clock)
        self.membership = Membership(
            settings.membership, identity, peers, clock, ports.instance_list
        )
        self.distribution = Distribution(
            settings.distribution, identity, store, peers, self.membership, clock
        )
        self.view = View(self.membership, self.distribution)
        self.budgets = BudgetHolder(settings.budgets, identity, store, peers, self.view, clock)
        self.routing = Admission(settings.routing, identity, self.view, clock)
        self.recorder = Recorder(
            settings.requests, identity, self.budgets, peers, self.view, clock, store, matcher
        )
        self.claims = Claims(
            settings.requests,
            identity,
            self.budgets,
            peers,
            self.view,
            clock,
            matcher,
            self.recorder.add,
        )
        self.budgets.claim_recovery = self.claims
        self.front = RequestFront(
            settings.requests, identity, self.budgets, self.routing, peers, self.view, clock
        )
        ports_of_desk = DeskPorts(store, peers, clock, self.view, self.recorder.find_stored)
        desk = Desk(settings.operators, identity, ports_of_desk)
        self.state = State(identity, self._parts())
        self.state.lacks = Readiness(self.budgets, self.view, clock).lacks
        self.app = CallersApp(
            settings.http, self.front, self.view, clock, OperatorService(desk), self.state
        )
        self._register()

    async def run(self) -> None:
        """Run all parts until cancelled."""
        await run_all(
            {
                'membership': self.membership.run,
                'distribution': self.distribution.run,
                'budgets': self.budgets.run,
                'claims': self.claims.run,
                'routing': self.routing.run,
                'front': self.front.run,
                'records': self.recorder.run,
                'store share': self._share_store,
            }
        )

    async def leave(self) -> None:
        """Refuse new requests and tell the other instances, at once."""
        self.state.left = True
        await self.membership.leave()

    async def drain(self) -> None:
        """Return when the last request has its answer and is settled."""
        while self._busy():
            await anyio.sleep(DRAIN_LOOK_S)
        await self.recorder.flush()

    def _busy(self) -> bool:
        counters = self.front.counters()
        return bool(counters['calls'] or counters['unsettled'] or self.app.in_flight)

    async def _share_store(self) -> None:
        """Take the share of the store's rates that the number of routers leaves to each."""
        while True:
            names = {member.instance for member in self.membership.members('router')}
            if self._rate is not None:
                self._rate.divide(len(names | {self._identity.instance}))
            await anyio.sleep(SHARE_LOOK_S)

    def _parts(self) -> dict[str, Part]:
        store = {} if self._rate is None else {'store': self._rate}
        return {
            **store,
            'membership': self.membership,
            'configuration': self.distribution,
            'budgets': self.budgets,
            'claims': self.claims,
            'requests': self.front,
            'records': self.recorder,
            'routing': self.routing,
        }

    def _register(self) -> None:
        for part in (self.membership, self.distribution, self.claims):
            part.register(self.handlers)
        self.budgets.handlers(self.handlers)
        self.handlers.answer(rpcs.SEAL_CLAIMS, self._seal)
        self.handlers.answer(rpcs.DUMP, self.state.answer_dump)

    async def _seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Seal the holder's epoch before its claims are told.

        In the other order a reservation made in between would be missing in the
        report, and its tokens would be taken for unspent.
        """
        reserved = await self.budgets.seal(message)
        reply = await self.claims.answer_seal(message)
        reply.records.extend(reserved)
        return reply
