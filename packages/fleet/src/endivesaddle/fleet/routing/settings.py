"""Settings of routing and admission."""

import dataclasses

from endivesaddle.fleet import settings


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Limits of routing, and initial assumptions about the backend servers."""

    routing_refresh_s: float = settings.option(
        'routing-refresh-s',
        'seconds between refreshes of the members and load reports',
        0.25,
        settings.number(0.01, 5),
    )
    routing_prefill_tokens_per_s: float = settings.option(
        'routing-prefill-tokens-per-s',
        'initial estimate of the prompt tokens that an engine processes per second',
        10000.0,
        settings.number(1, 1e7),
    )
    routing_holding_s: float = settings.option(
        'routing-holding-s',
        'initial estimate of the seconds that a request holds a slot',
        2.0,
        settings.number(0.001, 3600),
    )
    routing_prefixes: int = settings.option(
        'routing-prefixes',
        'cached prompt prefixes that a router remembers for all servers together',
        20000,
        settings.integer(0, 10_000_000),
    )
    routing_aside_s: float = settings.option(
        'routing-aside-s',
        'seconds for which a failing server is set aside the first time',
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
