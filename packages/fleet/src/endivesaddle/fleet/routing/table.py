"""The backend servers that may get requests, joined from configuration, members and loads.

Refreshed at most every ``routing_refresh_s``, so that a decision costs the same whether a member
has just changed or not.
"""

from bisect import bisect
from collections.abc import Iterable, Iterator
from itertools import chain

from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.routing import events
from endivesaddle.fleet.routing.prefixes import Prefixes
from endivesaddle.fleet.routing.servers import LEARNING_RATE, Server
from endivesaddle.fleet.routing.settings import RoutingSettings
from endivesaddle.wire import runs_pb2

MAX_PACE = 4.0
MAX_OUTLIER = 1.5
"""A single response counts for at most this multiple of the typical duration."""
MAX_SLOW_SHARE = 0.34
"""Maximum share of a group's servers that may be unhealthy when a slow one is set aside."""

GroupKey = tuple[str, str]
Signature = tuple[tuple[str, str, str], ...]


def key_of(routing_request: RoutingRequest) -> GroupKey:
    """Return the group of a request: its kind, and its model or service."""
    return (
        routing_request.kind,
        routing_request.service if routing_request.kind == 'service' else routing_request.model,
    )


class Group:
    """The servers of one model or service, and the typical durations of their responses."""

    def __init__(self, key: GroupKey, settings: RoutingSettings) -> None:
        """Initialize with no servers."""
        self.key = key
        self.servers: list[Server] = []
        self.outstanding = 0
        self.holding_s = settings.routing_holding_s
        self.answer_s_per_max_token = 0.0
        self._by_name: dict[str, Server] = {}
        self._ring: list[tuple[int, Server]] = []
        self._points: list[int] = []

    def update_servers(self, servers: list[Server]) -> None:
        """Set the current servers."""
        self.servers = servers
        self._by_name = {server.name: server for server in servers}
        ring = [(point, server) for server in servers for point in server.points]
        self._ring = sorted(ring, key=lambda pair: pair[0])
        self._points = [point for point, _ in self._ring]

    def decay_reports(self, now_unix_s: float) -> None:
        """Let old load reports decay to the mean."""
        reported = [server.reported_others for server in self.servers if server.load is not None]
        mean_others = sum(reported) / max(1, len(reported))
        for server in self.servers:
            server.decay_report(mean_others, now_unix_s)

    def find(self, names: Iterable[str]) -> Iterator[Server]:
        """Yield the servers of the group with these names."""
        for name in names:
            server = self._by_name.get(name)
            if server is not None:
                yield server

    def ring_from(self, point: int) -> Iterator[Server]:
        """Yield the servers in ring order from a point; a server may come more than once."""
        start = bisect(self._points, point)
        for index in chain(range(start, len(self._ring)), range(start)):
            yield self._ring[index][1]

    def pace(self, answer_s: float, max_tokens: int) -> float:
        """Return a response's duration relative to the typical one, 1 if that is unknown."""
        typical_s = self.answer_s_per_max_token * max_tokens
        return min(MAX_PACE, answer_s / typical_s) if typical_s else 1.0

    def may_set_aside_more(self, now_unix_s: float) -> bool:
        """Return whether one more slow server may be set aside: enough others are healthy."""
        unhealthy_count = sum(not server.healthy(now_unix_s) for server in self.servers)
        return unhealthy_count + 1 <= len(self.servers) * MAX_SLOW_SHARE

    def learn(self, held_s: float, answer_s: float, max_tokens: int) -> None:
        """Update the typical durations with those of a response."""
        self.holding_s += LEARNING_RATE * (held_s - self.holding_s)
        if not max_tokens:
            return
        typical = self.answer_s_per_max_token
        latest = answer_s / max_tokens
        if not typical:
            self.answer_s_per_max_token = latest
            return
        # One slow server must not make slow responses typical.
        self.answer_s_per_max_token += LEARNING_RATE * (
            min(latest, MAX_OUTLIER * typical) - typical
        )


class Table:
    """All servers by name and by group."""

    def __init__(self, settings: RoutingSettings, view: FleetView, prefixes: Prefixes) -> None:
        """Initialize empty; ``refresh`` adds the servers."""
        self.servers: dict[str, Server] = {}
        self.groups: dict[GroupKey, Group] = {}
        self._settings = settings
        self._view = view
        self._prefixes = prefixes
        self._revision = -1
        self._signature: Signature = ()
        self._due_unix_s = 0.0

    def force_refresh(self) -> None:
        """Let the next ``refresh`` run, however recent the last one is."""
        self._due_unix_s = 0

    def refresh(self, now_unix_s: float) -> None:
        """Refresh members and loads if it is due."""
        if now_unix_s < self._due_unix_s:
            return
        self._due_unix_s = now_unix_s + self._settings.routing_refresh_s
        members = self._view.members('sidecar')
        signature = tuple((member.server, member.address, member.state) for member in members)
        revision = self._view.configuration.revision
        if signature != self._signature or revision != self._revision:
            self._signature = signature
            self._revision = revision
            self._join(now_unix_s)
        for name, load in self._view.loads().items():
            server = self.servers.get(name)
            if server is not None and server.load is not load:
                self._report(server, load, now_unix_s)
        for group in self.groups.values():
            group.decay_reports(now_unix_s)

    def _report(self, server: Server, load: runs_pb2.Load, now_unix_s: float) -> None:
        if server.load is not None and server.load.at_unix_s == load.at_unix_s:
            return
        server.report(load)
        if not load.cache_event:
            return
        if not self._prefixes.event(server.name, load.cache_event, now_unix_s):
            events.CACHE_GAP.log(server=server.name, cache_event=load.cache_event)
        self._prefixes.confirm(server.name, load.cached_prefixes, now_unix_s)
        self._prefixes.evict(server.name, load.evicted_prefixes)

    def _join(self, now_unix_s: float) -> None:
        """Join the declared servers with the live sidecars."""
        grouped: dict[GroupKey, list[Server]] = {}
        current: dict[str, Server] = {}
        declared = self._view.configuration.servers
        for member in self._view.members('sidecar'):
            declaration = declared.get(member.server)
            if declaration is None or declaration.leaving or member.server in current:
                continue
            server = self._get_or_create(declaration)
            server.update_member(member)
            current[server.name] = server
            for key in _keys(declaration):
                grouped.setdefault(key, []).append(server)
        self._drop(current, now_unix_s)
        for key in grouped.keys() | self.groups.keys():
            group = self.groups.setdefault(key, Group(key, self._settings))
            group.update_servers(grouped.get(key, []))

    def _get_or_create(self, declared: BackendServer) -> Server:
        server = self.servers.get(declared.name)
        if server is None:
            server = Server(declared, self._settings)
        server.declared = declared
        return server

    def _drop(self, current: dict[str, Server], now_unix_s: float) -> None:
        """Drop servers that are gone and have no request of this router."""
        for name, server in self.servers.items():
            if name not in current and server.outstanding:
                current[name] = server
            elif name not in current:
                self._prefixes.forget(name, now_unix_s)
        self.servers = current


def _keys(declared: BackendServer) -> list[GroupKey]:
    if declared.kind == 'service':
        return [('service', declared.service)]
    return [(declared.kind, model) for model in declared.models]
