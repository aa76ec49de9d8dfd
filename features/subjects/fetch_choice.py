"""Subject: the source that a router names for a prompt that goes to the engine "two"."""

from types import MappingProxyType
from typing import Any, cast

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool, OutgoingRequest
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.fleet.interfaces import NeverSent
from endivesaddle.fleet.routes.declared import Declarations, RouteServer
from endivesaddle.fleet.routes.forwarded import ServerCall
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from subjects.placement_replay import ENGINE_SERVICE, ROUTE, ReplayClock, finished, made_request

ZONES = MappingProxyType({'one': 'a', 'two': 'a', 'three': 'a', 'far': 'b'})
BORN_UNIX_MS = 1000
SUBJECT = 'subject'


class FetchChoice:
    """A router with engines of two data centres; "two" is the least loaded one."""

    def __init__(self, prefix_fetch: str) -> None:
        """Initialize with no parts sent."""
        self.shared_tokens = 4870
        self.tried: set[str] = set()
        self._clock = ReplayClock()
        self._state = RoutingState()
        self.declare(ENGINE_SERVICE.transfer_mbps)
        settings = ForwardSettings(
            forward_policy='least_outstanding', forward_data_centre='a', prefix_fetch=prefix_fetch
        )
        self.dispatcher = Dispatcher(settings, self._state, self._clock, 'one')
        for name in ZONES:
            self.enter(name, BORN_UNIX_MS)

    def declare(self, mbps: float) -> None:
        """Declare the rate of the engines' links."""
        version = self._state.declarations.version + 1 if self._state.declarations else 1
        service = ENGINE_SERVICE._replace(transfer_mbps=mbps)
        self._state.declare(Declarations(version, (ROUTE,), (service,), ()), b'', 'test')

    def enter(self, name: str, born_unix_ms: int, leaving: bool = False) -> None:
        """Update a server's entry."""
        server = RouteServer(name, 'engines', f'{name}:1', ZONES[name], 64, leaving, born_unix_ms)
        self._state.update_server(server, 'test')
        self._backend(name).others_in_flight = 0 if name == 'two' else 5

    def sends(self, name: str, seconds: str) -> None:
        """Let another router send the part this long ago."""
        now_unix_s = self._clock.now_unix_s - float(seconds)
        self._backend(name).add_parts([SUBJECT], now_unix_s)

    def begins(self, name: str) -> None:
        """Let this router get the first event of a request with the part that it sends now."""
        request = made_request('first', SUBJECT, self.shared_tokens, 100).routing_request('engines')
        self._backend(name).start_request(request, self._clock.now_unix_s)
        self._backend(name).first_event(request)

    def leaves(self, name: str) -> None:
        """Announce in its entry that a server leaves."""
        self.enter(name, BORN_UNIX_MS, leaving=True)

    def upgraded(self, name: str) -> None:
        """Let a server have another software version than all others."""
        server = self._state.servers[name]._replace(version='v2')
        self._state.update_server(server, 'test')
        self._backend(name)

    def restarts(self, name: str) -> None:
        """Start a server again under its name."""
        self.enter(name, 2 * BORN_UNIX_MS)

    def reported(self, name: str) -> None:
        """Report late that another router sent the part to the server before it restarted."""
        backend = self._backend(name)
        if self.dispatcher.prefix_fetch.applies(backend, BORN_UNIX_MS):
            backend.add_parts([SUBJECT], self._clock.now_unix_s - 1)

    def ends(self, name: str) -> None:
        """End a server's process, so that connections are refused, and wait until it is tried."""
        self._backend(name).mark_unreachable(self._clock.now_unix_s, process_ended=True)
        self.dispatcher.prefix_fetch.mark_unreachable(self._backend(name), process_ended=True)
        self._clock.now_unix_s += 5

    def unreachable(self, name: str) -> None:
        """Let a connection to a server time out."""
        self._backend(name).mark_unreachable(self._clock.now_unix_s)

    def fails(self, name: str) -> None:
        """Let a server fail twice in a row."""
        for _ in range(2):
            self._backend(name).record_outcome(False, self._clock.now_unix_s)

    def evacuated(self, data_centre: str) -> None:
        """Evacuate a data centre."""
        self._state.evacuations.replace({data_centre}, 1, self._clock.now_unix_s, 'test')

    def failed(self, name: str) -> None:
        """Retry a request that failed at a server."""
        self.tried.add(name)

    def size(self, tokens: str) -> None:
        """Set the size of the shared part."""
        self.shared_tokens = int(tokens)

    def source(self) -> str:
        """Return the source that is named, '' for none."""
        request = made_request('next', SUBJECT, self.shared_tokens, 100)
        placement = finished(self.dispatcher.place(request, frozenset(self.tried)))
        assert placement.backend.server.lifetime == 'two', placement.backend.server
        return placement.source.server.lifetime if placement.source else ''

    def _backend(self, name: str) -> Backend:
        return self.dispatcher.backends.of(self._state.servers[name])


class RecordingPool:
    """A connection pool that sends nothing."""

    def __init__(self) -> None:
        """Initialize without a request."""
        self.headers: list[tuple[bytes, bytes]] = []

    def exchange(self, lifetime: str, address: str, sent: OutgoingRequest) -> Any:
        """Record the headers of a request."""
        self.headers = list(sent.headers())
        raise NeverSent('recorded')


def sent_headers(names: HeaderNames, source: str) -> dict[str, str]:
    """Return the headers that an engine gets with a source."""
    pool = RecordingPool()
    client = ForwardClient(cast(ConnectionPool, pool), names, ReplayClock())
    two, one = (RouteServer(name, 'engines', f'{name}:1', 'a', 64) for name in ('two', 'one'))
    request = made_request('next', SUBJECT, 4870, 100)
    call = ServerCall(request, two, 2000.0, -1, lambda: True, one if source else None)

    async def send() -> None:
        async with client.exchange(call):
            """Not reached."""

    try:
        anyio.run(send)
    except NeverSent:
        return {name.decode(): value.decode() for name, value in pool.headers}
    raise AssertionError('nothing was sent')
