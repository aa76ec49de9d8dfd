"""Settings of the operators' side of a router."""

from dataclasses import dataclass

from endivesaddle.fleet.settings import integer, number, option


@dataclass(frozen=True)
class OperatorSettings:
    """How long a command may take, and who may give one before operators are declared.

    ``change_s`` bounds a change with all its retries and read-backs: after it an
    operator is told "not accepted" or "unknown", and never waits longer.  ``apply_s``
    is longer: a first file of thousands of accounts is some 150 writes, and a router's
    share of the store's rate may be a few a second.
    """

    bootstrap_token: str = option(
        'bootstrap-token', 'token that is taken until operators are declared', ''
    )
    change_s: float = option(
        'change-s', 'seconds until a change is given up or unknown', 10.0, number(0.1, 300)
    )
    apply_s: float = option(
        'apply-s', 'seconds until an apply is given up or unknown', 45.0, number(0.1, 600)
    )
    store_retry_s: float = option(
        'change-retry-s', 'seconds between two looks at a silent store', 0.2, number(0.01, 10)
    )
    peer_call_s: float = option(
        'operator-peer-call-s', 'seconds that another instance may take', 2.0, number(0.05, 60)
    )
    tidy_every: int = option(
        'tidy-every', 'revisions until old parts leave the store', 16, integer(1, 10_000)
    )
    audit_days: int = option(
        'audit-days', 'days until an audit record lapses', 400, integer(1, 36500)
    )
    most_rows: int = option('most-rows', 'rows of a reply at the most', 200, integer(1, 10000))
