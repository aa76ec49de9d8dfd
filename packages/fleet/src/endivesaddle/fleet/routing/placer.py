"""Place requests on backend servers, and learn from how they fare there."""

from random import Random

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.routing import events
from endivesaddle.fleet.routing.expected import Expected, uncached_tokens
from endivesaddle.fleet.routing.policies import Policy, Question, policies
from endivesaddle.fleet.routing.prefixes import Prefixes
from endivesaddle.fleet.routing.servers import Sent, Server
from endivesaddle.fleet.routing.settings import RoutingSettings
from endivesaddle.fleet.routing.table import Group, Table, key_of

DEFAULT_POLICIES = (('engine', 'earliest_first_token'), ('service', 'least_outstanding'))
"""Policy for each kind of backend server, where none is declared."""
SLOW_PACE = 1.8
"""An engine's tokens may take half as long again with a full batch; this is beyond."""


class Placer:
    """Where this router's requests are and may go."""

    def __init__(
        self,
        settings: RoutingSettings,
        identity: Identity,
        view: FleetView,
        clock: Clock,
        random: Random,
    ) -> None:
        """Place requests of one router."""
        self.prefixes = Prefixes(settings.routing_prefixes)
        self.table = Table(settings, view, self.prefixes)
        self._view = view
        self._clock = clock
        self._random = random
        self._expected = Expected(identity)
        self._policies: dict[str, Policy] = {}

    def group(self, routing_request: RoutingRequest) -> Group | None:
        """Return the servers that a request may go to, as of now; None when there are none."""
        self.table.refresh(self._clock.now_s())
        self._expected.regions = self._view.configuration.data_centres
        group = self.table.groups.get(key_of(routing_request))
        return group if group and group.servers else None

    def eligible(self, server: Server, exclude: frozenset[str]) -> bool:
        """Tell whether a server takes new requests at all: not tried already, not leaving."""
        if server.name in exclude or self._view.leaving(server.member.instance):
            return False
        return server.load is None or not server.load.leaving

    def choose(
        self, group: Group, routing_request: RoutingRequest, exclude: frozenset[str]
    ) -> Server | None:
        """Choose a server with room; where all are set aside, one of them; else None."""
        now_unix_s = self._clock.now_s()

        def is_open(server: Server) -> bool:
            return server.has_room() and server.well(now_unix_s) and self.eligible(server, exclude)

        question = Question(
            routing_request, group, is_open, self._expected, self.prefixes, self._random
        )
        server = self._policy(group.key[0]).choose(question)
        return server or self._least_bad(group, exclude, now_unix_s)

    def first_token_s(self, server: Server, routing_request: RoutingRequest) -> float:
        """Return seconds until the first token, were the request sent there now."""
        share = self.prefixes.shares(routing_request.prefix_hashes).get(server.name, 0)
        return self._expected.first_token_s(server, routing_request, share)

    def send(self, group: Group, routing_request: RoutingRequest, server: Server) -> Choice:
        """Note that a request goes to a server now."""
        now_unix_s = self._clock.now_s()
        share = self.prefixes.shares(routing_request.prefix_hashes).get(server.name, 0)
        expected_unix_s = now_unix_s + self._expected.first_token_s(server, routing_request, share)
        tokens = uncached_tokens(routing_request, share)
        server.sent(
            routing_request.request_key,
            Sent(now_unix_s, expected_unix_s, tokens, server.prefilling_tokens),
        )
        server.health.sent(routing_request.request_key)
        group.outstanding += 1
        self.prefixes.confirm(server.name, routing_request.prefix_hashes, now_unix_s)
        return Choice(server.name, server.member.address, expected_unix_s)

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Learn that the first token came."""
        server = self.table.servers.get(choice.server)
        if server is not None:
            server.first_token(routing_request.request_key, self._clock.now_s())

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Learn that a run ended, well or not.

        A run that ended well but gave no token and used none was never
        dispatched, or its caller went away: that says nothing of the server.
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
            server.health.withdrawn(routing_request.request_key)
            server.passed_over(sent, now_unix_s)
        else:
            self._failed(server, routing_request, now_unix_s)

    def answer_s(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return the expected seconds from the first token to the last."""
        return self._expected.answer_s(group, routing_request)

    def _answered(
        self, server: Server, routing_request: RoutingRequest, sent: Sent, now_unix_s: float
    ) -> None:
        held_s = now_unix_s - sent.sent_unix_s
        answer_s = now_unix_s - (sent.first_unix_s or now_unix_s)
        group = self.table.groups[key_of(routing_request)]
        pace = group.pace(answer_s, routing_request.max_tokens)
        group.learn(held_s, answer_s, routing_request.max_tokens)
        server.learn(held_s, pace)
        probed = server.health.probe == routing_request.request_key
        shown = pace if probed else server.pace
        if shown > SLOW_PACE and (probed or group.may_spare(now_unix_s)):
            self._slow(server, now_unix_s)
        elif server.health.succeeded(routing_request.request_key):
            server.pace = 1.0
            events.SERVER_BACK.log(server=server.name)

    def _slow(self, server: Server, now_unix_s: float) -> None:
        """Set a server aside whose answers take far longer than those of others.

        Failure: one engine slows down, and its share of all answers is late,
        though it fails nothing.
        """
        server.health.slow(now_unix_s, self._random)
        events.SERVER_SLOW.log(server=server.name, pace=round(server.pace, 2))

    def _failed(self, server: Server, routing_request: RoutingRequest, now_unix_s: float) -> None:
        self.prefixes.evict(server.name, routing_request.prefix_hashes)
        if server.health.failed(routing_request.request_key, now_unix_s, self._random):
            events.SERVER_ASIDE.log(
                server=server.name, until_unix_s=server.health.aside_until_unix_s
            )

    def _least_bad(self, group: Group, exclude: frozenset[str], now_unix_s: float) -> Server | None:
        """Return the emptiest server when none is well; None when a well one is just full.

        Failure: a fault that all servers seem to share (a bad request repeated, a
        cut in front of the router) sets them all aside, and nothing is served.
        """
        eligible = [server for server in group.servers if self.eligible(server, exclude)]
        if any(server.well(now_unix_s) for server in eligible):
            return None
        roomy = [server for server in eligible if server.has_room()]
        return min(roomy, key=Server.occupied, default=None)

    def _policy(self, kind: str) -> Policy:
        declared = self._view.configuration.policy
        name = declared.get(f'routing.{kind}') or dict(DEFAULT_POLICIES).get(kind, 'round_robin')
        if name not in self._policies:
            self._policies[name] = policies.find(name)()
        return self._policies[name]
