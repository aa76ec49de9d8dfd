"""The operators' configuration in the memory of an instance.

``endivesaddle apply`` creates it from declarations, the files written by operators.  The
store has it as immutable parts that are referenced by one head with a revision.  An
instance only moves to higher revisions.
"""

from typing import NamedTuple

import xxhash


class Account(NamedTuple):
    """A client account; keys are stored as SHA-256 hex digests, never in plain text."""

    name: str
    key_digests: tuple[str, ...] = ()
    budget_tokens: int = 0
    priority: int = 1
    max_queued: int = 64


class Model(NamedTuple):
    """A model, with the limits from which the worst case of a prompt is computed."""

    name: str
    max_output_tokens: int = 4096
    message_overhead_tokens: int = 16
    adapter: str = ''
    version: str = ''


class Service(NamedTuple):
    """A plain service with a fixed cost for each call."""

    name: str
    cost_tokens: int = 1


class BackendServer(NamedTuple):
    """A backend server; ``kind`` is "engine" or "service"."""

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
    """A rule for requests that may be repeated; empty fields match all, the first rule applies."""

    may_repeat: bool
    service: str = ''
    method: str = ''
    path_prefix: str = ''
    model: str = ''
    caller_may_choose: bool = False


class Operator(NamedTuple):
    """An operator's token; ``role`` is "support" (read only) or "operator" (may change)."""

    name: str
    token_digest: str
    role: str


class Configuration(NamedTuple):
    """The whole configuration at one revision; 0 is the empty one before the first."""

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
"""Number of budget shards; it can't change during the lifetime of a deployment."""


def shard_of(account: str) -> int:
    """Return the budget shard of an account."""
    return xxhash.xxh3_64_intdigest(account.encode()) % SHARD_COUNT


def rendezvous(key: str, names: list[str]) -> list[str]:
    """Return names ordered by rendezvous hashing for a key; the first one is assigned."""
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()), reverse=True
    )
