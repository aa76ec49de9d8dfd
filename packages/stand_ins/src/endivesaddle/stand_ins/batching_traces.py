"""Seeded traces of the two firms, as requests with times, prompts and answers."""

from collections.abc import Iterator
from random import Random
from types import MappingProxyType
from typing import NamedTuple

import xxhash

BLOCK_TOKENS = 128
BURST_EVERY_S = 8
BURST_FOR_S = 1
BURST_FACTOR = 2.5


class Work(NamedTuple):
    """One kind of request; prompts are counted in blocks of ``BLOCK_TOKENS``.

    ``account_blocks`` start every prompt of an account; then come those of one
    of its ``projects`` (a project's prompt grows by ``turn_blocks`` each time and
    is replaced after ``turns``), then blocks of the request's own.
    """

    name: str
    share: float
    account_blocks: int
    project_blocks: int
    projects: int
    turn_blocks: int
    turns: int
    own_blocks: tuple[int, int]
    answer_tokens: tuple[int, int]
    max_tokens: int
    deadline_s: float
    priority: int


class Firm(NamedTuple):
    """One firm: its model, engines, data centres and kinds of work."""

    name: str
    model: str
    engines: int
    data_centres: tuple[str, ...]
    works: tuple[Work, ...]
    accounts: int = 10

    def scaled(self, scale: int) -> 'Firm':
        """Return a firm with so many times the engines and accounts."""
        return self._replace(engines=self.engines * scale, accounts=self.accounts * scale)


AZULEJO = Firm(
    name='azulejo',
    model='boards',
    engines=6,
    data_centres=('porto-a', 'porto-b', 'porto-c'),
    works=(
        Work('board', 0.1, 16, 8, 8, 0, 1000, (4, 12), (400, 600), 1024, 30, 1),
        Work('caption', 0.5, 4, 0, 1, 0, 1000, (1, 2), (40, 80), 128, 4, 1),
        Work('tag', 0.4, 4, 0, 1, 0, 1000, (2, 2), (20, 40), 64, 4, 0),
    ),
)
NESTKALA = Firm(
    name='nestkala',
    model='nesting',
    engines=9,
    data_centres=('aji-hall', 'metoda-hall', 'shapar-hall'),
    works=(
        Work('plan', 0.15, 8, 16, 4, 4, 6, (1, 3), (200, 400), 768, 30, 1),
        Work('table', 0.5, 6, 0, 1, 0, 1000, (1, 1), (40, 80), 128, 3, 2),
        Work('tag', 0.35, 4, 0, 1, 0, 1000, (2, 2), (15, 35), 64, 5, 0),
    ),
)
FIRMS = MappingProxyType({firm.name: firm for firm in (AZULEJO, NESTKALA)})


class TraceRequest(NamedTuple):
    """One request of a trace; ``router`` is where the balancer sends it."""

    key: str
    at_s: float
    account: str
    work: Work
    prompt_tokens: int
    answer_tokens: int
    hashes: tuple[int, ...]
    router: int


class Trace:
    """Makes the requests of one firm."""

    def __init__(self, firm: Firm, seed: int, routers: int = 3) -> None:
        """Make the same requests each time for the same seed."""
        self._firm = firm
        self._routers = routers
        self._random = Random(f'{firm.name}/{seed}')
        self._turns: dict[str, int] = {}

    def requests(self, rate: float, until_s: float, bursts: bool) -> Iterator[TraceRequest]:
        """Yield requests at a mean rate, with exponential gaps or in bursts."""
        at_s = 0.0
        number = 0
        while True:
            factor = _burst_factor(at_s) if bursts else 1.0
            at_s += self._random.expovariate(rate * factor)
            if at_s >= until_s:
                return
            number += 1
            yield self._request(number, at_s)

    def _request(self, number: int, at_s: float) -> TraceRequest:
        work = self._random.choices(self._firm.works, [each.share for each in self._firm.works])[0]
        weights = [1 / (rank + 1) for rank in range(self._firm.accounts)]
        account = f'client-{self._random.choices(range(self._firm.accounts), weights)[0]}'
        hashes = _chain(self._labels(work, account, number))
        return TraceRequest(
            key=f'{account}/{number}',
            at_s=at_s,
            account=account,
            work=work,
            prompt_tokens=len(hashes) * BLOCK_TOKENS,
            answer_tokens=self._random.randint(*work.answer_tokens),
            hashes=hashes,
            router=self._random.randrange(self._routers),
        )

    def _labels(self, work: Work, account: str, number: int) -> list[str]:
        project = f'{account}/{work.name}/{self._random.randrange(work.projects)}'
        turn = self._turns.get(project, 0)
        self._turns[project] = turn + 1
        grown = work.project_blocks + work.turn_blocks * (turn % work.turns)
        labels = [f'{account}/{work.name}/{block}' for block in range(work.account_blocks)]
        labels += [f'{project}/{turn // work.turns}/{block}' for block in range(grown)]
        own = self._random.randint(*work.own_blocks)
        return labels + [f'{number}/{block}' for block in range(own)]


def _chain(labels: list[str]) -> tuple[int, ...]:
    """Hash each growing prefix of the labels."""
    hashes: list[int] = []
    last = 0
    for label in labels:
        last = xxhash.xxh3_64_intdigest(f'{last}/{label}'.encode())
        hashes.append(last)
    return tuple(hashes)


def _burst_factor(at_s: float) -> float:
    """Return by how much the rate is above or below its mean; the mean stays."""
    if at_s % BURST_EVERY_S < BURST_FOR_S:
        return BURST_FACTOR
    return (BURST_EVERY_S - BURST_FACTOR * BURST_FOR_S) / (BURST_EVERY_S - BURST_FOR_S)
