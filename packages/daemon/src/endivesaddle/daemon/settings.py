"""Settings of one process: who it is, where it listens, how it logs.

The settings of the parts (budgets, routing, ...) live beside the parts; the
commands in ``cli`` put them together.
"""

import dataclasses

from endivesaddle.fleet import settings
from endivesaddle.fleet.configuration import BackendServer


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Who this process is and where it listens."""

    instance: str = settings.option('instance', 'name of this instance, unique')
    data_centre: str = settings.option('data-centre', 'data centre it stands in')
    region: str = settings.option('region', 'region of the data centre', 'one')
    listen: str = settings.option(
        'listen', 'ip:port for the other instances', '127.0.0.1:0', settings.address
    )
    http_listen: str = settings.option(
        'http-listen', 'ip:port for callers and operators', '127.0.0.1:0', settings.address
    )
    stop_within_s: float = settings.option(
        'stop-within-s',
        'seconds that a graceful stop may take',
        600.0,
        settings.number(1, 86400),
    )
    notice_s: float = settings.option(
        'notice-s',
        'seconds between the word that it leaves and closing its listeners',
        3.0,
        settings.number(0, 60),
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """How a process logs."""

    log_format: str = settings.option(
        'log-format', 'text or json', 'text', settings.choice('text', 'json')
    )
    log_level: str = settings.option(
        'log-level',
        'least level that is logged',
        'INFO',
        settings.choice('DEBUG', 'INFO', 'WARNING', 'ERROR'),
    )


@dataclasses.dataclass(frozen=True)
class ServerSettings:
    """The backend server beside a sidecar."""

    server: str = settings.option('server', 'name of the backend server, as declared')
    server_url: str = settings.option('server-url', 'its base URL, by IP number')
    server_kind: str = settings.option(
        'server-kind', 'engine or service', 'engine', settings.choice('engine', 'service')
    )

    server_checks_orders: str = settings.option(
        'server-checks-orders',
        'whether it refuses an order with an old fencing number: yes or no',
        'no',
        settings.choice('yes', 'no'),
    )

    def described(self, data_centre: str) -> BackendServer:
        """Return the server as known before the configuration arrives."""
        return BackendServer(
            name=self.server,
            data_centre=data_centre,
            url=self.server_url,
            kind=self.server_kind,
            checks_orders=self.server_checks_orders == 'yes',
        )
