"""The backend servers that could take a request, joined from configuration, members and loads.

Looked up anew at most every ``routing_refresh_s``, so that a decision costs
the same whether a member has just changed or not.
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

MOST_PACE = 4.0
MOST_UNUSUAL = 1.5
"""A single answer counts for at most so many times the usual."""
MOST_SPARED_SHARE = 0.34
"""Share of a group's servers that may be out of use for slowness."""

GroupKey = tuple[str, str]
Signature = tuple[tuple[str, str, str], ...]


def key_of(routing_request: RoutingRequest) -> GroupKey:
    """Return what a request needs a server for: its kind, and its model or service."""
    return (
        routing_request.kind,
        routing_request.service if routing_request.kind == 'service' else routing_request.model,
    )


class Group:
    """The servers of one model or service, and what their answers take on the whole."""

    def __init__(self, key: GroupKey, settings: RoutingSettings) -> None:
        """Start without servers."""
        self.key = key
        self.servers: list[Server] = []
        self.outstanding = 0
        self.holding_s = settings.routing_holding_s
        self.answer_s_per_max_token = 0.0
        self._by_name: dict[str, Server] = {}
        self._ring: list[tuple[int, Server]] = []
        self._points: list[int] = []

    def place(self, servers: list[Server]) -> None:
        """Take the servers of now."""
        self.servers = servers
        self._by_name = {server.name: server for server in servers}
        ring = [(point, server) for server in servers for point in server.points]
        self._ring = sorted(ring, key=lambda pair: pair[0])
        self._points = [point for point, _ in self._ring]

    def age(self, now_unix_s: float) -> None:
        """Let old reports fade into the mean."""
        reported = [server.reported_others for server in self.servers if server.load is not None]
        mean_others = sum(reported) / max(1, len(reported))
        for server in self.servers:
            server.age(mean_others, now_unix_s)

    def named(self, names: Iterable[str]) -> Iterator[Server]:
        """Yield the servers of these names that are in the group."""
        for name in names:
            server = self._by_name.get(name)
            if server is not None:
                yield server

    def around(self, point: int) -> Iterator[Server]:
        """Yield the servers from a point on the hash ring on; one may come twice."""
        start = bisect(self._points, point)
        for index in chain(range(start, len(self._ring)), range(start)):
            yield self._ring[index][1]

    def pace(self, answer_s: float, max_tokens: int) -> float:
        """Return how long an answer took against what is usual; 1 where nothing is known."""
        usual_s = self.answer_s_per_max_token * max_tokens
        return min(MOST_PACE, answer_s / usual_s) if usual_s else 1.0

    def may_spare(self, now_unix_s: float) -> bool:
        """Tell whether one more slow server may be set aside: most others are well."""
        unwell = sum(not server.well(now_unix_s) for server in self.servers)
        return unwell + 1 <= len(self.servers) * MOST_SPARED_SHARE

    def learn(self, held_s: float, answer_s: float, max_tokens: int) -> None:
        """Learn from an answer how long a slot is held, and how long answers take."""
        self.holding_s += LEARNING_RATE * (held_s - self.holding_s)
        if not max_tokens:
            return
        usual = self.answer_s_per_max_token
        newest = answer_s / max_tokens
        if not usual:
            self.answer_s_per_max_token = newest
            return
        # One slow server must not make slowness usual.
        self.answer_s_per_max_token += LEARNING_RATE * (min(newest, MOST_UNUSUAL * usual) - usual)


class Table:
    """All servers by name and by group."""

    def __init__(self, settings: RoutingSettings, view: FleetView, prefixes: Prefixes) -> None:
        """Start empty; ``refresh`` fills it."""
        self.servers: dict[str, Server] = {}
        self.groups: dict[GroupKey, Group] = {}
        self._settings = settings
        self._view = view
        self._prefixes = prefixes
        self._revision = -1
        self._signature: Signature = ()
        self._due_unix_s = 0.0

    def look_now(self) -> None:
        """Have the next ``refresh`` look, however recent the last look is."""
        self._due_unix_s = 0

    def refresh(self, now_unix_s: float) -> None:
        """Look at members and loads, if it is time."""
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
            group.age(now_unix_s)

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
        kept: dict[str, Server] = {}
        declared = self._view.configuration.servers
        for member in self._view.members('sidecar'):
            wanted = declared.get(member.server)
            if wanted is None or wanted.leaving or member.server in kept:
                continue
            server = self._kept(wanted)
            server.place(member)
            kept[server.name] = server
            for key in _keys(wanted):
                grouped.setdefault(key, []).append(server)
        self._drop(kept, now_unix_s)
        for key in grouped.keys() | self.groups.keys():
            group = self.groups.setdefault(key, Group(key, self._settings))
            group.place(grouped.get(key, []))

    def _kept(self, declared: BackendServer) -> Server:
        server = self.servers.get(declared.name)
        if server is None:
            server = Server(declared, self._settings)
        server.declared = declared
        return server

    def _drop(self, kept: dict[str, Server], now_unix_s: float) -> None:
        """Forget servers that are gone, but not while a request of this router is there."""
        for name, server in self.servers.items():
            if name not in kept and server.outstanding:
                kept[name] = server
            elif name not in kept:
                self._prefixes.forget(name, now_unix_s)
        self.servers = kept


def _keys(declared: BackendServer) -> list[GroupKey]:
    if declared.kind == 'service':
        return [('service', declared.service)]
    return [(declared.kind, model) for model in declared.models]
