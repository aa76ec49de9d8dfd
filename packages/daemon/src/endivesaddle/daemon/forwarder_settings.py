"""Settings of a forwarding router."""

import dataclasses

from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.fleet import settings as options
from endivesaddle.fleet.overload.settings import OverloadSettings
from endivesaddle.fleet.routes.store_settings import StoreSettings
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.fleet.routes.write_intervals import AllocatorSettings
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.waiting_settings import WaitingSettings
from endivesaddle.instances.settings import InstancesSettings


@dataclasses.dataclass(frozen=True)
class PlaceSettings:
    """Who a forwarding router is and where it listens."""

    instance: str = options.option('instance', 'name of this instance, unique')
    lifetime: str = options.option('lifetime', 'name of this life of the instance, never reused')
    http_listen: str = options.option(
        'http-listen', 'ip:port for callers', '127.0.0.1:0', options.address
    )
    ready_listen: str = options.option(
        'ready-listen', "ip:port for the platform's health checks", '127.0.0.1:0', options.address
    )
    listen: str = options.option(
        'listen', 'ip:port for the other routers', '127.0.0.1:0', options.address
    )
    metrics_listen: str = options.option(
        'metrics-listen', 'ip:port for metrics and the state dump', '127.0.0.1:0', options.address
    )
    seeds: tuple[str, ...] = options.option(
        'seeds', 'ip:port of other routers, where the store does not tell', (), options.name_list
    )
    stop_within_s: float = options.option(
        'stop-within-s', 'seconds that a graceful stop may take', 8.0, options.number(1, 86400)
    )


@dataclasses.dataclass(frozen=True)
class ForwarderSettings:
    """All settings of a forwarding router."""

    place: PlaceSettings
    logs: LogSettings = LogSettings()
    http: CallersSettings = CallersSettings()
    links: InstancesSettings = InstancesSettings()
    forward: ForwardSettings = ForwardSettings()
    overload: OverloadSettings = OverloadSettings()
    store: StoreSettings = StoreSettings()
    supply: SupplySettings = SupplySettings()
    allocator: AllocatorSettings = AllocatorSettings()
    waiting: WaitingSettings = WaitingSettings()
