"""Settings of request forwarding."""

import dataclasses

from endivesaddle.fleet import settings
from endivesaddle.fleet.routing.cold_starts import cold_policies
from endivesaddle.fleet.routing.limit_shares import limit_policies
from endivesaddle.fleet.routing.placement_policies import placement_policies
from endivesaddle.fleet.routing.prefix_fetch import fetch_policies


@dataclasses.dataclass(frozen=True)
class ForwardSettings:
    """How forwarded requests are placed and retried."""

    forward_policy: str = settings.option(
        'forward-policy',
        f'how requests are placed on engines: {", ".join(placement_policies)}',
        'earliest_first_event',
        settings.choice(*placement_policies),
    )
    prefix_fetch: str = settings.option(
        'prefix-fetch',
        f'whether engines fetch shared parts from each other: {", ".join(fetch_policies)}',
        'off',
        settings.choice(*fetch_policies),
    )
    forward_data_centre: str = settings.option(
        'forward-data-centre', 'data centre of this router', 'one'
    )
    cold_policy: str = settings.option(
        'cold-policy',
        f'which routers send to a server that is cold after its start: {", ".join(cold_policies)}',
        'few_routers',
        settings.choice(*cold_policies),
    )
    limit_policy: str = settings.option(
        'limit-policy',
        f'how routers share the limit that a server advertises: {", ".join(limit_policies)}',
        'few_routers',
        settings.choice(*limit_policies),
    )
    regions: tuple[str, ...] = settings.option(
        'regions',
        'the region of each data centre, as data-centre=region; others are in no known region',
        (),
        settings.name_value_pairs,
    )
    retry_ratio: float = settings.option(
        'retry-ratio',
        'retries allowed for each request to a service, over all routers',
        0.2,
        settings.number(0, 1),
    )
    retry_slack: float = settings.option(
        'retry-slack',
        'additional retries allowed for a service within a window, over all routers',
        20.0,
        settings.number(0, 1_000_000),
    )
    retry_window_s: float = settings.option(
        'retry-window-s',
        'window over which the retries and the requests of a service are counted',
        10.0,
        settings.number(1, 3600),
    )
    crash_ends: int = settings.option(
        'crash-ends',
        'servers that a request may crash before it is held back',
        3,
        settings.integer(1, 1000),
    )
    crash_held_s: float = settings.option(
        'crash-held-s',
        'seconds that such a request is held back at first; each further crash doubles it',
        600.0,
        settings.number(1, 86_400),
    )
