"""Settings of routing and admission."""

import dataclasses

from endivesaddle.fleet import settings


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """What routing may assume of the backend servers until it has seen them work."""

    routing_refresh_s: float = settings.option(
        'routing-refresh-s',
        'seconds between looks at the members and load reports',
        0.25,
        settings.number(0.01, 5),
    )
    routing_prefill_tokens_per_s: float = settings.option(
        'routing-prefill-tokens-per-s',
        'prompt tokens that an engine reads in a second, before any is measured',
        10000.0,
        settings.number(1, 1e7),
    )
    routing_holding_s: float = settings.option(
        'routing-holding-s',
        'seconds that a request holds a slot, before any is measured',
        2.0,
        settings.number(0.001, 3600),
    )
    routing_prefixes: int = settings.option(
        'routing-prefixes',
        'cached prompt prefixes that a router remembers, over all servers',
        20000,
        settings.integer(0, 10_000_000),
    )
    routing_aside_s: float = settings.option(
        'routing-aside-s',
        'seconds that a failing server is set aside the first time',
        1.0,
        settings.number(0.01, 600),
    )
    routing_retry_share: float = settings.option(
        'routing-retry-share',
        'retries allowed for each successful request',
        0.1,
        settings.number(0, 1),
    )
    routing_queued: int = settings.option(
        'routing-queued',
        'requests that may wait in a router for one model or service',
        512,
        settings.integer(0, 100_000),
    )
