"""Policies that choose a backend server; ``routing`` in the declared policy names one.

Each is a small class, entered into the registry by its decorator.  A policy
chooses among the servers that are open: live, not set aside, not tried
already, and with room.
"""

from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import NamedTuple, Protocol

import xxhash

from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routing.expected import Expected
from endivesaddle.fleet.routing.prefixes import Prefixes
from endivesaddle.fleet.routing.servers import Server
from endivesaddle.fleet.routing.table import Group

SMALL_GROUP = 16
"""Up to so many servers all are compared; beyond, a sample of them."""
SAMPLED = 6
"""Servers compared at random in a large group, beside those that may hold the prefix."""
HOLDERS = 4
HOMES = 2
NEAR_S = 0.02
"""Expected first tokens that differ by less count as equal: the estimate is no better."""
HEAD_BLOCKS = 2
"""Blocks of the prompt that the hash of its head covers."""


class Question(NamedTuple):
    """What a policy is asked: a place for ``routing_request`` among the open servers of a group."""

    routing_request: RoutingRequest
    group: Group
    is_open: Callable[[Server], bool]
    expected: Expected
    prefixes: Prefixes
    random: Random


class Policy(Protocol):
    """Choose a server."""

    def choose(self, question: Question) -> Server | None:
        """Return an open server, or None when there is none."""


policies: Registry[Callable[[], Policy]] = Registry('routing policy')


@policies.add('round_robin')
class RoundRobin:
    """Take the servers in turn."""

    def __init__(self) -> None:
        """Start with the first."""
        self._turn = 0

    def choose(self, question: Question) -> Server | None:
        """Return the next open server."""
        servers = question.group.servers
        for _ in servers:
            self._turn += 1
            server = servers[self._turn % len(servers)]
            if question.is_open(server):
                return server
        return None


@policies.add('least_outstanding')
class LeastOutstanding:
    """Take the server with the fewest requests, own and reported."""

    def choose(self, question: Question) -> Server | None:
        """Return the least occupied of the open servers, or of a sample in a large group."""
        candidates = _opened(question, _sample(question))
        return min(candidates, key=Server.occupied, default=None)


@policies.add('prefix_hash')
class PrefixHash:
    """Take the server that the prompt's head hashes to, so that caches are reused."""

    def choose(self, question: Question) -> Server | None:
        """Return the first open server on the hash ring."""
        homes = question.group.around(head_hash(question.routing_request))
        return next((server for server in homes if question.is_open(server)), None)


@policies.add('earliest_first_token')
class EarliestFirstToken:
    """Take the server with the earliest expected first token; among near-equals the emptiest."""

    def choose(self, question: Question) -> Server | None:
        """Return the open server with the earliest expected first token."""
        routing_request = question.routing_request
        shares = question.prefixes.shares(routing_request.prefix_hashes)
        expected = question.expected
        timed = [
            (expected.first_token_s(server, routing_request, shares.get(server.name, 0)), server)
            for server in _opened(question, _shortlist(question, shares))
        ]
        if not timed:
            return None
        limit_s = min(first_s for first_s, _ in timed) + NEAR_S
        near = [server for first_s, server in timed if first_s <= limit_s]
        return min(near, key=Server.occupied)


def head_hash(routing_request: RoutingRequest) -> int:
    """Return the hash of a prompt's head, or of the account where there is none."""
    if routing_request.prefix_hashes:
        return routing_request.prefix_hashes[
            min(HEAD_BLOCKS, len(routing_request.prefix_hashes)) - 1
        ]
    return xxhash.xxh3_64_intdigest(
        f'{routing_request.account}/{routing_request.model}{routing_request.service}'.encode()
    )


def _opened(question: Question, servers: Sequence[Server]) -> list[Server]:
    candidates = [server for server in servers if question.is_open(server)]
    question.random.shuffle(candidates)
    return candidates


def _sample(question: Question) -> Sequence[Server]:
    """Return the whole of a small group, else servers drawn at random.

    Comparing a few drawn at random is nearly as good as comparing all, and
    routers that share a lagging view don't all pick the same one.
    """
    servers = question.group.servers
    if len(servers) <= SMALL_GROUP:
        return servers
    return question.random.sample(servers, SAMPLED)


def _shortlist(question: Question, shares: dict[str, float]) -> Sequence[Server]:
    servers = question.group.servers
    if len(servers) <= SMALL_GROUP:
        return servers
    drawn = {server.name: server for server in _sample(question)}
    for home in _homes(question):
        drawn[home.name] = home
    for server in question.group.named(_longest(shares)):
        drawn[server.name] = server
    return list(drawn.values())


def _longest(shares: dict[str, float]) -> list[str]:
    return sorted(shares, key=lambda name: shares[name], reverse=True)[:HOLDERS]


def _homes(question: Question) -> Iterator[Server]:
    around = question.group.around(head_hash(question.routing_request))
    for _ in range(HOMES):
        yield next(around)
