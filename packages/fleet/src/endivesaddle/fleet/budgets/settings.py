"""Settings of the budgets in a router."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option


@dataclasses.dataclass(frozen=True)
class BudgetSettings:
    """Intervals of store writes, headroom acquired in advance, and retention of records.

    ``records_kept_s`` must be shorter than the 900 s for which sidecars remember ended runs,
    by at least the maximum clock difference.  It must be longer than the longest store
    outage after which the tokens of a failed holder can be recovered; see docs/BUDGETS.md.
    """

    tick_s: float = option(
        'budget-tick-s', 'seconds between two checks of the assigned shards', 1.0, number(0.05, 60)
    )
    settle_interval_s: float = option(
        'budget-settle-s', 'seconds between two writes of a shard', 15.0, number(0.1, 600)
    )
    write_gap_s: float = option(
        'budget-write-gap-s',
        'minimum seconds between two requested writes of a shard',
        0.1,
        number(0, 60),
    )
    ahead_s: float = option(
        'budget-ahead-s',
        'seconds of spending for which a ceiling is raised in advance',
        900.0,
        number(0, 3600),
    )
    least_ahead_tokens: int = option(
        'budget-least-ahead-tokens',
        'minimum tokens by which a ceiling is raised in advance',
        20_000,
        integer(0, 10**9),
    )
    idle_s: float = option(
        'budget-idle-s',
        'seconds without a request until headroom is returned',
        600.0,
        number(1, 86400),
    )
    store_timeout_s: float = option(
        'budget-store-timeout-s', 'seconds a store call may take', 3.0, number(0.01, 60)
    )
    peer_timeout_s: float = option(
        'budget-peer-timeout-s',
        'seconds a call to another instance may take',
        1.0,
        number(0.01, 60),
    )
    store_retry_s: float = option(
        'budget-store-retry-s',
        'seconds between two write attempts while the store is unavailable',
        2.0,
        number(0.1, 600),
    )
    look_s: float = option(
        'budget-look-s', 'seconds until an idle shard is read again', 60.0, number(1, 86_400)
    )
    fresh_s: float = option(
        'budget-fresh-s',
        'maximum seconds of age of a record used for a refusal',
        1.0,
        number(0, 60),
    )
    waiting_look_s: float = option(
        'budget-waiting-look-s',
        'seconds between two reads of a record while requests wait',
        0.2,
        number(0, 60),
    )
    retry_s: float = option(
        'budget-retry-s',
        'seconds until a waiting request checks for headroom again',
        0.25,
        number(0.01, 60),
    )
    seal_retry_s: float = option(
        'budget-seal-retry-s', 'seconds between two rounds of sealing', 3.0, number(0.1, 600)
    )
    records_kept_s: float = option(
        'budget-records-kept-s',
        'seconds for which a settled request is remembered',
        840.0,
        number(1, 86400),
    )
    transfers: bool = option('budget-transfers', 'move headroom between data centres', True)
    waiting: bool = option(
        'budget-waiting', 'let requests wait for open reservations to be settled', True
    )
