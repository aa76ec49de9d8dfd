"""Seeded traces of requests and top-ups, for the sizes of today and of the plan."""

import random
from typing import NamedTuple

from endivesaddle.stand_ins.budget_sidecars import Work


class Kind(NamedTuple):
    """A kind of request: its share, bound, used part of it, and how long it runs."""

    share: float
    bound_tokens: int
    used_part: tuple[float, float]
    run_s: tuple[float, float]
    patience_s: float


class Firm(NamedTuple):
    """A firm: where it runs and what its clients ask for."""

    name: str
    data_centres: tuple[str, ...]
    sidecars: int
    kinds: tuple[Kind, ...]


AZULEJO = Firm(
    'azulejo',
    ('porto-a', 'porto-b', 'porto-c'),
    2,
    (
        Kind(0.2, 6000, (0.3, 0.8), (15, 60), 30),
        Kind(0.5, 300, (0.3, 0.9), (1, 5), 10),
        Kind(0.3, 150, (0.4, 1.0), (0.5, 2), 10),
    ),
)
NESTKALA = Firm(
    'nestkala',
    ('aji-hall', 'metoda-hall', 'shapar-hall'),
    3,
    (
        Kind(0.15, 12_000, (0.2, 0.7), (20, 90), 30),
        Kind(0.3, 600, (0.3, 0.9), (2, 8), 10),
        Kind(0.25, 150, (0.4, 1.0), (0.5, 2), 10),
        Kind(0.3, 1, (1.0, 1.0), (0.05, 0.3), 5),
    ),
)
FIRMS = (AZULEJO, NESTKALA)
ACCOUNTS = 10
_LARGE = 3
_LARGE_WEIGHT = 6.0
_TIGHT_PART = 0.55
_TOP_UP_PART = 0.15
_AMPLE_PART = 2.0
_TOP_UP_AT = (0.45, 0.75)


class Arrival(NamedTuple):
    """A request that enters at one router of a data centre."""

    at_s: float
    data_centre: str
    router: int
    kind: Kind
    account: str
    used_part: float
    run_s: float


class TopUp(NamedTuple):
    """A top-up that an operator makes."""

    at_s: float
    account: str
    tokens: int


class Trace(NamedTuple):
    """A seeded trace: budgets at the start, requests and top-ups in order."""

    firm: Firm
    length_s: float
    budgets: dict[str, int]
    arrivals: list[Arrival]
    top_ups: list[TopUp]


def trace(firm: Firm, seed: int, length_s: float, requests_per_s: float) -> Trace:
    """Return a trace; every other account's budget is nearly spent, and topped up."""
    chance = random.Random(f'{firm.name}/{seed}')
    accounts = [f'{firm.name}-client-{number}' for number in range(ACCOUNTS)]
    weights = [_LARGE_WEIGHT if number < _LARGE else 1.0 for number in range(ACCOUNTS)]
    arrivals = []
    at_s = 0.0
    while at_s < length_s:
        at_s += chance.expovariate(requests_per_s)
        account = chance.choices(accounts, weights)[0]
        arrivals.append(_arrival(firm, chance, at_s, account))
    budgets, top_ups = _budgets(accounts, arrivals, length_s)
    return Trace(firm, length_s, budgets, arrivals, top_ups)


def _arrival(firm: Firm, chance: random.Random, at_s: float, account: str) -> Arrival:
    kind = chance.choices(firm.kinds, [kind.share for kind in firm.kinds])[0]
    return Arrival(
        at_s,
        chance.choice(firm.data_centres),
        chance.randrange(2),
        kind,
        account,
        chance.uniform(*kind.used_part),
        chance.uniform(*kind.run_s),
    )


def _budgets(
    accounts: list[str], arrivals: list[Arrival], length_s: float
) -> tuple[dict[str, int], list[TopUp]]:
    budgets = {}
    top_ups = []
    for number, account in enumerate(accounts):
        wanted = sum(
            arrival.used_part * arrival.kind.bound_tokens
            for arrival in arrivals
            if arrival.account == account
        )
        if number % 2:
            budgets[account] = int(wanted * _AMPLE_PART)
            continue
        budgets[account] = int(wanted * _TIGHT_PART)
        tokens = int(wanted * _TOP_UP_PART)
        top_ups += [TopUp(length_s * part, account, tokens) for part in _TOP_UP_AT]
    return budgets, sorted(top_ups)


def work_of(arrival: Arrival, number: int, now_unix_s: float) -> Work:
    """Return the request of an arrival, as it enters now."""
    bound_tokens = arrival.kind.bound_tokens
    return Work(
        arrival.account,
        f'{arrival.account}/{number}',
        bound_tokens,
        int(bound_tokens * arrival.used_part),
        arrival.run_s,
        now_unix_s + arrival.kind.patience_s,
    )
