"""Settings of the budgets in a router."""

import dataclasses

from endivesaddle.fleet.settings import integer, number, option


@dataclasses.dataclass(frozen=True)
class BudgetSettings:
    """How often the store is written, how far ahead ceilings are raised, what is kept how long.

    ``records_kept_s`` must stay below what the sidecars remember ended runs for (900 s),
    by as much as clocks may differ, and above the longest outage of the store that a lost
    holder's tokens are to survive; see docs/BUDGETS.md.
    """

    tick_s: float = option(
        'budget-tick-s', 'seconds between two looks at who holds what', 1.0, number(0.05, 60)
    )
    settle_interval_s: float = option(
        'budget-settle-s', 'seconds between two writes of a shard', 15.0, number(0.1, 600)
    )
    write_gap_s: float = option(
        'budget-write-gap-s',
        'seconds between two hurried writes of a shard',
        0.1,
        number(0, 60),
    )
    ahead_s: float = option(
        'budget-ahead-s',
        'seconds of spending a ceiling is raised ahead',
        900.0,
        number(0, 3600),
    )
    least_ahead_tokens: int = option(
        'budget-least-ahead-tokens',
        'tokens a ceiling is raised ahead at least',
        20_000,
        integer(0, 10**9),
    )
    idle_s: float = option(
        'budget-idle-s',
        'seconds without a request until headroom is given back',
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
        'seconds between two tries to write while the store is not reached',
        2.0,
        number(0.1, 600),
    )
    look_s: float = option(
        'budget-look-s', 'seconds until an idle shard is read again', 60.0, number(1, 86_400)
    )
    fresh_s: float = option(
        'budget-fresh-s', 'age of a record on which a refusal may rest', 1.0, number(0, 60)
    )
    waiting_look_s: float = option(
        'budget-waiting-look-s',
        'seconds between two looks at a record that a request waits for',
        0.2,
        number(0, 60),
    )
    retry_s: float = option(
        'budget-retry-s',
        'seconds until a waiting request looks for headroom again',
        0.25,
        number(0.01, 60),
    )
    seal_retry_s: float = option(
        'budget-seal-retry-s', 'seconds between two rounds of sealing', 3.0, number(0.1, 600)
    )
    records_kept_s: float = option(
        'budget-records-kept-s',
        'seconds a settled request is remembered',
        840.0,
        number(1, 86400),
    )
    transfers: bool = option('budget-transfers', 'move headroom between data centres', True)
    waiting: bool = option('budget-waiting', 'wait for outstanding reservations', True)
