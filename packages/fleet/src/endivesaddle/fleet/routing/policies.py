"""Policies that choose a backend server; ``routing`` in the declared policy names one.

Each is a small class that its decorator adds to the registry.  A policy chooses among the open
servers: those that are live, not set aside, not tried already and have a free slot.
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
"""Up to this many servers, all are compared; in a larger group only a sample."""
SAMPLE_SIZE = 6
"""Random servers compared in a large group, besides those that may have the prefix cached."""
MAX_HOLDERS = 4
MAX_HOMES = 2
NEAR_S = 0.02
"""Differences between expected first tokens below this are within the error of the estimate."""
HEAD_BLOCKS = 2
"""Blocks of the prompt that the hash of its head covers."""


class PolicyContext(NamedTuple):
    """The input of a policy: a place for ``routing_request`` among the open servers of a group."""

    routing_request: RoutingRequest
    group: Group
    is_open: Callable[[Server], bool]
    expected: Expected
    prefixes: Prefixes
    random: Random


class Policy(Protocol):
    """A policy that chooses a server."""

    def choose(self, context: PolicyContext) -> Server | None:
        """Return an open server, or None."""


policies: Registry[Callable[[], Policy]] = Registry('routing policy')


@policies.add('round_robin')
class RoundRobin:
    """Choose the servers in turn."""

    def __init__(self) -> None:
        """Initialize with the first server next."""
        self._turn = 0

    def choose(self, context: PolicyContext) -> Server | None:
        """Return the next open server."""
        servers = context.group.servers
        for _ in servers:
            self._turn += 1
            server = servers[self._turn % len(servers)]
            if context.is_open(server):
                return server
        return None


@policies.add('least_outstanding')
class LeastOutstanding:
    """Choose the server with the fewest requests, own and reported."""

    def choose(self, context: PolicyContext) -> Server | None:
        """Return the least occupied of the open servers, or of a sample in a large group."""
        candidates = _open_servers(context, _sample(context))
        return min(candidates, key=Server.occupied, default=None)


@policies.add('prefix_hash')
class PrefixHash:
    """Choose the server that the head of the prompt hashes to, so that caches are reused."""

    def choose(self, context: PolicyContext) -> Server | None:
        """Return the first open server on the hash ring."""
        homes = context.group.ring_from(head_hash(context.routing_request))
        return next((server for server in homes if context.is_open(server)), None)


@policies.add('earliest_first_token')
class EarliestFirstToken:
    """Choose the earliest expected first token; among nearly equal ones the least occupied."""

    def choose(self, context: PolicyContext) -> Server | None:
        """Return the open server with the earliest expected first token."""
        routing_request = context.routing_request
        shares = context.prefixes.shares(routing_request.prefix_hashes)
        expected = context.expected
        estimates = [
            (expected.first_token_s(server, routing_request, shares.get(server.name, 0)), server)
            for server in _open_servers(context, _shortlist(context, shares))
        ]
        if not estimates:
            return None
        limit_s = min(first_s for first_s, _ in estimates) + NEAR_S
        nearly_equal = [server for first_s, server in estimates if first_s <= limit_s]
        return min(nearly_equal, key=Server.occupied)


def head_hash(routing_request: RoutingRequest) -> int:
    """Return the hash of a prompt's head, or of the account where there is none."""
    if routing_request.prefix_hashes:
        return routing_request.prefix_hashes[
            min(HEAD_BLOCKS, len(routing_request.prefix_hashes)) - 1
        ]
    return xxhash.xxh3_64_intdigest(
        f'{routing_request.account}/{routing_request.model}{routing_request.service}'.encode()
    )


def _open_servers(context: PolicyContext, servers: Sequence[Server]) -> list[Server]:
    candidates = [server for server in servers if context.is_open(server)]
    context.random.shuffle(candidates)
    return candidates


def _sample(context: PolicyContext) -> Sequence[Server]:
    """Return all servers of a small group, otherwise a random sample.

    Comparing a few random servers is nearly as good as comparing all, and routers that share an
    outdated view don't all choose the same one.
    """
    servers = context.group.servers
    if len(servers) <= SMALL_GROUP:
        return servers
    return context.random.sample(servers, SAMPLE_SIZE)


def _shortlist(context: PolicyContext, shares: dict[str, float]) -> Sequence[Server]:
    servers = context.group.servers
    if len(servers) <= SMALL_GROUP:
        return servers
    sampled = {server.name: server for server in _sample(context)}
    for home in _homes(context):
        sampled[home.name] = home
    for server in context.group.find(_best_holders(shares)):
        sampled[server.name] = server
    return list(sampled.values())


def _best_holders(shares: dict[str, float]) -> list[str]:
    return sorted(shares, key=lambda name: shares[name], reverse=True)[:MAX_HOLDERS]


def _homes(context: PolicyContext) -> Iterator[Server]:
    ring = context.group.ring_from(head_hash(context.routing_request))
    for _ in range(MAX_HOMES):
        yield next(ring)
