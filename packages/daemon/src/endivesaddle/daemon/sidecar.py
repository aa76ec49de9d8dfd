"""A sidecar, put together from its parts."""

import dataclasses
import math
from typing import Annotated, Any

import anyio
import cappa

from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.callers.app import CallersApp, CallersSettings
from endivesaddle.daemon import events
from endivesaddle.daemon.node import Ports, State, run_all
from endivesaddle.daemon.settings import InstanceSettings, LogSettings, ServerSettings
from endivesaddle.fleet.budgets import min_epochs
from endivesaddle.fleet.budgets.errors import BadRecord
from endivesaddle.fleet.distribution import Distribution, DistributionSettings
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Answer, BackendServerClient, CallerRequest
from endivesaddle.fleet.membership import Membership, MembershipSettings
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.runs import OrderKeeper, Runs, RunSettings
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from endivesaddle.fleet.view import View
from endivesaddle.instances import InstancesSettings
from endivesaddle.platform import PlatformSettings
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2

REPORT_PERIOD_S = 1.0
FLOORS_WITHIN_S = 2.0
FLOORS_RETRY_S = 0.5
_NO_FRONT = Refusal('not_a_router', 'this is a sidecar: ask a router', NOT_RUN, 404)


@dataclasses.dataclass(frozen=True)
class SidecarSettings:
    """All settings of a sidecar."""

    place: Annotated[InstanceSettings, cappa.Arg.destructured()]
    server: Annotated[ServerSettings, cappa.Arg.destructured()]
    logs: Annotated[LogSettings, cappa.Arg.destructured()] = LogSettings()
    platform: Annotated[PlatformSettings, cappa.Arg.destructured()] = PlatformSettings()
    links: Annotated[InstancesSettings, cappa.Arg.destructured()] = InstancesSettings()
    http: Annotated[CallersSettings, cappa.Arg.destructured()] = CallersSettings()
    backend: Annotated[BackendSettings, cappa.Arg.destructured()] = BackendSettings()
    runs: Annotated[RunSettings, cappa.Arg.destructured()] = RunSettings()
    membership: Annotated[MembershipSettings, cappa.Arg.destructured()] = MembershipSettings()
    distribution: Annotated[DistributionSettings, cappa.Arg.destructured()] = DistributionSettings()


class Sidecar:
    """One sidecar: runs requests on the backend server beside it."""

    def __init__(
        self,
        settings: SidecarSettings,
        identity: Identity,
        ports: Ports,
        handlers: Handlers,
        client: BackendServerClient,
    ) -> None:
        """Build all parts; ``run`` starts them."""
        self.handlers = handlers
        clock = ports.clock
        self._ports = ports
        if ports.rate is not None:
            ports.rate.limit_sidecar()
        self._membership = Membership(settings.membership, identity, ports.peers, clock)
        distribution = Distribution(
            settings.distribution, identity, None, ports.peers, self._membership, clock
        )
        self.distribution = distribution
        view = View(self._membership, distribution)
        self.runs = Runs(settings.runs, identity, client, ports.peers, view, clock)
        self.orders = OrderKeeper(
            settings.runs,
            ports.store,
            client,
            settings.server.described(settings.place.data_centre),
            identity,
            clock,
        )
        for part in (self._membership, distribution, self.runs, self.orders):
            part.register(handlers)
        self.state = State(
            identity,
            {
                'membership': self._membership,
                'configuration': distribution,
                'runs': self.runs,
                'orders': self.orders,
            },
        )
        handlers.answer(rpcs.DUMP, self.state.answer_dump)
        self.app = CallersApp(settings.http, Closed(), view, clock, Closed(), self.state)

    async def run(self) -> None:
        """Run all parts until cancelled."""
        await run_all(
            {
                'membership': self._membership.run,
                'distribution': self.distribution.run,
                'runs': self._run,
                'orders': self.orders.run,
                'load reports': self._report,
            }
        )

    async def leave(self) -> None:
        """Refuse new runs and tell the routers, at once."""
        self.state.left = True
        await self.runs.answer_drain(runs_pb2.DrainRequest(reason='told to stop'))
        await self._membership.leave()

    async def drain(self) -> None:
        """Return when the last run has ended and was fetched and settled."""
        await self.runs.drain(math.inf)

    async def _run(self) -> None:
        """Learn which epochs are sealed, then take runs.

        A sidecar that was restarted has forgotten its seals.  A holder that was
        paused meanwhile still grants under its old epoch, whose tokens others have
        got since: a run under it would overspend.  So it refuses runs as "starting"
        until the floors are read; they are written before any token is freed.
        """
        await read_floors_into(self.runs, self._ports)
        await self.runs.run()

    async def _report(self) -> None:
        while True:
            self._membership.report(await self.runs.report(runs_pb2.LoadRequest()))
            await anyio.sleep(REPORT_PERIOD_S)


async def read_floors_into(runs: Runs, ports: Ports) -> None:
    """Seal at ``runs`` what the store says is sealed; returns when it has been read."""
    while True:
        deadline_unix_s = ports.clock.now_s() + FLOORS_WITHIN_S
        try:
            read = await min_epochs.read_min_epochs(ports.store, deadline_unix_s)
        except (StoreUnreachable, BadRecord) as error:
            events.FLOORS_UNREAD.log(error=str(error))
            await anyio.sleep(FLOORS_RETRY_S)
            continue
        for (shard, data_centre), epoch in read.items():
            await runs.seal(
                holders_pb2.SealRequest(shard=shard, data_centre=data_centre, below_epoch=epoch)
            )
        return


class Closed:
    """Refuse callers and commands: a sidecar's HTTP side is for health and state."""

    async def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Refuse a request."""
        return _NO_FRONT

    async def command(self, token: str, line: str, change_id: str) -> tuple[int, dict[str, Any]]:
        """Refuse a command."""
        return _NO_FRONT.status, {'error': _NO_FRONT.reason}
