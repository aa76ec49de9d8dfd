"""A sidecar of a fleet that forwards: store calls for routers that are cut off, and tokens.

It decides nothing.  Without it a router that lost the store lived on the tokens it had been
granted before, and a router that was killed took with it what its accounts held ahead.
"""

import dataclasses
from typing import Annotated

import anyio
import cappa

from endivesaddle.daemon import events
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.daemon.stopping import stop_signal
from endivesaddle.fleet import settings as options
from endivesaddle.fleet.clock import SteadyClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.custody import Custody
from endivesaddle.fleet.routes.remote_store import ForwardStore, answer_store
from endivesaddle.fleet.routes.roster import (
    SIDECAR,
    SIDECAR_LEASE_S,
    SIDECAR_RENEW_S,
    Entry,
    Instance,
)
from endivesaddle.instances.server import serve as serve_calls
from endivesaddle.instances.settings import InstancesSettings

RETURN_S = 2.5
"""A sidecar that stops answers for so long: two rounds of the routers, and a slow one."""


@dataclasses.dataclass(frozen=True)
class StoreSidecarSettings:
    """All settings of a sidecar that makes store calls."""

    instance: str = options.option('instance', 'name of this instance, unique')
    lifetime: str = options.option('lifetime', 'name of this life of the instance, never reused')
    listen: str = options.option(
        'listen', 'ip:port for the routers', '127.0.0.1:0', options.address
    )
    data_centre: str = options.option('data-centre', 'data centre of this instance', 'one')
    logs: Annotated[LogSettings, cappa.Arg.destructured()] = LogSettings()
    links: Annotated[InstancesSettings, cappa.Arg.destructured()] = InstancesSettings()


class StoreSidecar:
    """One such process."""

    def __init__(self, settings: StoreSidecarSettings, store: ForwardStore) -> None:
        """Make the calls of others to ``store``."""
        self._settings = settings
        self._store = store
        self._clock = SteadyClock()
        self._custody = Custody(self._clock)

    async def run(self) -> None:
        """Answer until a signal says stop."""
        settings = self._settings
        async with (
            serve_calls(self._handlers(), settings.listen, settings.links),
            anyio.create_task_group() as group,
        ):
            events.STARTED.log(address=settings.listen, http_address='')
            group.start_soon(self._entry().run, SIDECAR_RENEW_S)
            await stop_signal()
            events.LEAVING.log(instance=settings.instance)
            self._custody.leaving = True
            # Routers ask every second, and are given back what they left here.
            await anyio.sleep(RETURN_S)
            group.cancel_scope.cancel()
        events.STOPPED.log(instance=settings.instance)

    def _handlers(self) -> Handlers:
        handlers = Handlers()
        answer_store(handlers, self._store, self._clock)
        self._custody.register(handlers)
        return handlers

    def _entry(self) -> Entry:
        settings = self._settings
        own = Instance(SIDECAR, settings.lifetime, settings.listen, settings.data_centre)
        return Entry(self._store, self._clock, own, SIDECAR_LEASE_S)
