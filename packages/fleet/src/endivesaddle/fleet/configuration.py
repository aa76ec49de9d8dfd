"""The operators' configuration as every instance holds it in memory.

Declarations (operators' files) become this through ``endivesaddle apply``; the
store holds it as immutable parts under one head with a revision.  An instance
only ever moves to a higher revision.
"""

from typing import NamedTuple

import xxhash


class Account(NamedTuple):
    """A client account; keys are kept as SHA-256 hex, never in clear."""

    name: str
    key_digests: tuple[str, ...] = ()
    budget_tokens: int = 0
    priority: int = 1
    max_queued: int = 64


class Model(NamedTuple):
    """A model: limits that make a prompt's bound safe."""

    name: str
    max_output_tokens: int = 4096
    message_overhead_tokens: int = 16
    adapter: str = ''
    version: str = ''


class Service(NamedTuple):
    """A plain service; every call costs the same."""

    name: str
    cost_tokens: int = 1


class BackendServer(NamedTuple):
    """A backend server: ``kind`` is engine or service."""

    name: str
    data_centre: str
    url: str
    kind: str
    models: tuple[str, ...] = ()
    service: str = ''
    checks_orders: bool = False
    slots: int = 16
    leaving: bool = False


class RepeatRule(NamedTuple):
    """Which requests may be repeated; empty fields match all, the first rule wins."""

    may_repeat: bool
    service: str = ''
    method: str = ''
    path_prefix: str = ''
    model: str = ''
    caller_may_choose: bool = False


class Operator(NamedTuple):
    """An operators' token: ``role`` is support (reads) or operator (changes)."""

    name: str
    token_digest: str
    role: str


class Configuration(NamedTuple):
    """The whole configuration at one revision; 0 is before the first."""

    revision: int = 0
    accounts: dict[str, Account] = {}
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    servers: dict[str, BackendServer] = {}
    repeat_rules: tuple[RepeatRule, ...] = ()
    operators: dict[str, Operator] = {}
    data_centres: dict[str, str] = {}
    policy: dict[str, str] = {}


SHARD_COUNT = 64
"""Budget shards; fixed for the life of a deployment."""


def shard_of(account: str) -> int:
    """Return the budget shard of an account."""
    return xxhash.xxh3_64_intdigest(account.encode()) % SHARD_COUNT


def rendezvous(key: str, names: list[str]) -> list[str]:
    """Order names by rendezvous hashing for a key: the first is responsible."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()), reverse=True
    )
