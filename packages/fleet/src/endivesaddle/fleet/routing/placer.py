"""Place requests on backend servers, and update estimates from their outcomes."""

from random import Random

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.routing import events
from endivesaddle.fleet.routing.expected import Expected, uncached_tokens
from endivesaddle.fleet.routing.policies import Policy, PolicyContext, policies
from endivesaddle.fleet.routing.prefixes import Prefixes
from endivesaddle.fleet.routing.servers import SentRequest, Server
from endivesaddle.fleet.routing.settings import RoutingSettings
from endivesaddle.fleet.routing.table import Group, Table, key_of

DEFAULT_POLICIES = (('engine', 'earliest_first_token'), ('service', 'least_outstanding'))
"""Default policy for each kind of backend server."""
MAX_HEALTHY_PACE = 1.8
"""An engine with a full batch may take 1.5 times as long per token; this is beyond it."""


class Placer:
    """Chooses servers for the requests of one router and tracks them."""

    def __init__(
        self,
        settings: RoutingSettings,
        identity: Identity,
        view: FleetView,
        clock: Clock,
        random: Random,
    ) -> None:
        """Initialize with no requests."""
        self.prefixes = Prefixes(settings.routing_prefixes)
        self.table = Table(settings, view, self.prefixes)
        self._view = view
        self._clock = clock
        self._random = random
        self._expected = Expected(identity)
        self._policies: dict[str, Policy] = {}

    def group(self, routing_request: RoutingRequest) -> Group | None:
        """Return the current group of servers for a request, None if it is empty."""
        self.table.refresh(self._clock.now_s())
        self._expected.regions = self._view.configuration.data_centres
        group = self.table.groups.get(key_of(routing_request))
        return group if group and group.servers else None

    def eligible(self, server: Server, exclude: frozenset[str]) -> bool:
        """Return whether a server may get the request: it is not in ``exclude`` and not leaving."""
        if server.name in exclude or self._view.leaving(server.member.instance):
            return False
        return server.load is None or not server.load.leaving

    def choose(
        self, group: Group, routing_request: RoutingRequest, exclude: frozenset[str]
    ) -> Server | None:
        """Choose a server with a free slot, or one set aside if all are; None if there is none."""
        now_unix_s = self._clock.now_s()

        def is_open(server: Server) -> bool:
            return (
                server.has_room() and server.healthy(now_unix_s) and self.eligible(server, exclude)
            )

        context = PolicyContext(
            routing_request, group, is_open, self._expected, self.prefixes, self._random
        )
        server = self._policy(group.key[0]).choose(context)
        return server or self._fallback(group, exclude, now_unix_s)

    def first_token_s(self, server: Server, routing_request: RoutingRequest) -> float:
        """Return the expected seconds until the first token if the request were sent now."""
        share = self.prefixes.shares(routing_request.prefix_hashes).get(server.name, 0)
        return self._expected.first_token_s(server, routing_request, share)

    def send(self, group: Group, routing_request: RoutingRequest, server: Server) -> Choice:
        """Record that a request is sent to a server now."""
        now_unix_s = self._clock.now_s()
        share = self.prefixes.shares(routing_request.prefix_hashes).get(server.name, 0)
        expected_unix_s = now_unix_s + self._expected.first_token_s(server, routing_request, share)
        tokens = uncached_tokens(routing_request, share)
        server.sent(
            routing_request.request_key,
            SentRequest(now_unix_s, expected_unix_s, tokens, server.prefilling_tokens),
        )
        server.health.sent(routing_request.request_key)
        group.outstanding += 1
        self.prefixes.confirm(server.name, routing_request.prefix_hashes, now_unix_s)
        return Choice(server.name, server.member.address, expected_unix_s)

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Record the first token of a response."""
        server = self.table.servers.get(choice.server)
        if server is not None:
            server.first_token(routing_request.request_key, self._clock.now_s())

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Record the end of a run.

        A run that ended without an error but produced and used no token was never dispatched, or
        its caller disconnected: that is no information about the server.
        """
        server = self.table.servers.get(choice.server)
        if server is None:
            return
        now_unix_s = self._clock.now_s()
        sent = server.ended(routing_request.request_key, now_unix_s)
        if sent is None:
            return
        group = self.table.groups[key_of(routing_request)]
        group.outstanding -= 1
        if ok and (sent.first_unix_s or used_tokens):
            self._answered(server, routing_request, sent, now_unix_s)
        elif ok:
            server.health.cancel_probe(routing_request.request_key)
            server.mark_full(sent, now_unix_s)
        else:
            self._failed(server, routing_request, now_unix_s)

    def answer_s(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return the expected seconds from the first token to the last."""
        return self._expected.answer_s(group, routing_request)

    def _answered(
        self, server: Server, routing_request: RoutingRequest, sent: SentRequest, now_unix_s: float
    ) -> None:
        held_s = now_unix_s - sent.sent_unix_s
        answer_s = now_unix_s - (sent.first_unix_s or now_unix_s)
        group = self.table.groups[key_of(routing_request)]
        pace = group.pace(answer_s, routing_request.max_tokens)
        group.learn(held_s, answer_s, routing_request.max_tokens)
        server.learn(held_s, pace)
        probed = server.health.probe == routing_request.request_key
        shown = pace if probed else server.pace
        if shown > MAX_HEALTHY_PACE and (probed or group.may_set_aside_more(now_unix_s)):
            self._slow(server, now_unix_s)
        elif server.health.succeeded(routing_request.request_key):
            server.pace = 1.0
            events.SERVER_BACK.log(server=server.name)

    def _slow(self, server: Server, now_unix_s: float) -> None:
        """Set aside a server whose responses take far longer than those of others.

        Failure: one engine slows down, and its share of all responses is late although no request
        fails.
        """
        server.health.slow(now_unix_s, self._random)
        events.SERVER_SLOW.log(server=server.name, pace=round(server.pace, 2))

    def _failed(self, server: Server, routing_request: RoutingRequest, now_unix_s: float) -> None:
        self.prefixes.evict(server.name, routing_request.prefix_hashes)
        if server.health.failed(routing_request.request_key, now_unix_s, self._random):
            events.SERVER_ASIDE.log(
                server=server.name, until_unix_s=server.health.aside_until_unix_s
            )

    def _fallback(self, group: Group, exclude: frozenset[str], now_unix_s: float) -> Server | None:
        """Return the least occupied server if none is healthy; None if a healthy one is just full.

        Failure: a common cause (a bad request that is retried, a network fault in front of the
        router) sets all servers aside, and no request is served.
        """
        eligible = [server for server in group.servers if self.eligible(server, exclude)]
        if any(server.healthy(now_unix_s) for server in eligible):
            return None
        with_room = [server for server in eligible if server.has_room()]
        return min(with_room, key=Server.occupied, default=None)

    def _policy(self, kind: str) -> Policy:
        declared = self._view.configuration.policy
        name = declared.get(f'routing.{kind}') or dict(DEFAULT_POLICIES).get(kind, 'round_robin')
        if name not in self._policies:
            self._policies[name] = policies.find(name)()
        return self._policies[name]
