"""Write the recorded traces under features/traces/, by a seeded generator.

The same seed writes the same bytes; CI replays what is committed.  The format is
described in docs/design/traces.md.
"""

import pathlib
import random
import sys
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

import msgspec  # noqa: E402 (the features folder has to be on the path first)

from subjects.trace_lines import FOLDER, KINDS  # noqa: E402

Line = dict[str, Any]
ANSWERED = 'answered'
UNKNOWN = 'unknown'
EXHAUSTED = 'refused budget_exhausted'
BURST = 15
BURST_S = 1.0
UNSURE = ('refused retry_unsure', 'refused no_copy')


class Kind(NamedTuple):
    """A kind of request and its share of all."""

    share: int
    model: str = ''
    words: tuple[int, int] = (0, 0)
    max_tokens: tuple[int, int] = (0, 0)
    stream: bool = False
    method: str = ''
    once: bool = False


class Plan(NamedTuple):
    """What a trace has: its firm, its requests, what it has to come to.

    ``bursts`` are moments right before which many requests come, so that a fault there
    finds them at every step.
    """

    name: str
    firm: Line
    kinds: tuple[Kind, ...]
    requests: int
    length_s: float
    others: tuple[Line, ...] = ()
    bursts: tuple[float, ...] = ()
    accounts: tuple[str, ...] = ()
    outcomes: tuple[str, ...] = (ANSWERED,)
    once_outcomes: tuple[str, ...] = (ANSWERED,)
    attempts: int = 1
    answered_share: float = 1
    false_refusals: int = 0
    false_refused_tries: int = 0


def main() -> None:
    """Write all traces."""
    FOLDER.mkdir(exist_ok=True)
    for plan in PLANS:
        lines = sorted(_lines(plan), key=_order)
        text = msgspec.json.Encoder().encode_lines(lines)
        (FOLDER / f'{plan.name}.jsonl').write_bytes(text)
        print(plan.name, len(lines), 'lines', len(text), 'bytes')


def _lines(plan: Plan) -> Iterable[Line]:
    source = random.Random(plan.name)
    yield plan.firm
    yield from plan.others
    for number in range(plan.requests):
        request = _request(plan, source, number)
        yield request
        yield _outcome(plan, request)
    yield {
        'at_s': plan.length_s,
        'event': 'total',
        'answered_share_at_least': plan.answered_share,
        'false_refusals_at_most': plan.false_refusals,
        'false_refused_tries_at_most': plan.false_refused_tries,
        'overspent_tokens': 0,
    }


def _order(line: Line) -> tuple[float, int]:
    return line['at_s'], list(KINDS).index(line['event'])


def _request(plan: Plan, source: random.Random, number: int) -> Line:
    kind = source.choices(plan.kinds, [one.share for one in plan.kinds])[0]
    accounts = plan.accounts or tuple(plan.firm['accounts'])
    # A few accounts are large: the first has most requests, the last the fewest.
    weights = [1 / (rank + 1) for rank in range(len(accounts))]
    line = {
        'at_s': round(_moment(plan, source, number), 2),
        'event': 'request',
        'account': source.choices(accounts, weights)[0],
        'key': f'{plan.name}-{number}',
        'routers': _routers(plan, source),
        'once': kind.once,
    }
    if kind.method:
        return {**line, 'method': kind.method}
    return {
        **line,
        'model': kind.model,
        'words': source.randint(*kind.words),
        'max_tokens': source.randint(*kind.max_tokens),
        'stream': kind.stream,
    }


def _moment(plan: Plan, source: random.Random, number: int) -> float:
    burst = number // BURST
    if burst < len(plan.bursts):
        return plan.bursts[burst] - source.uniform(0.01, BURST_S)
    return source.uniform(0, plan.length_s - 5)


def _routers(plan: Plan, source: random.Random) -> list[str]:
    """Return an entry and where the caller tries again, each time in the next data centre."""
    names = plan.firm['data_centres']
    first = source.randrange(len(names))
    turns = [names[(first + turn) % len(names)] for turn in range(plan.attempts)]
    return [f'{name}-router-{source.randint(1, plan.firm["routers"])}' for name in turns]


def _outcome(plan: Plan, request: Line) -> Line:
    return {
        'at_s': request['at_s'],
        'event': 'outcome',
        'account': request['account'],
        'key': request['key'],
        'outcomes': plan.once_outcomes if request['once'] else plan.outcomes,
        'attempts_at_most': plan.attempts,
        'runs_at_most': 1 if request['once'] else plan.attempts,
        'billed_tokens': _cost(plan.firm, request),
    }


def _cost(firm: Line, request: Line) -> int:
    if 'method' in request:
        return int(firm['cost_tokens'])
    return int(request['words'] + min(request['max_tokens'], firm['answer_tokens']))


def _firm(names: Sequence[str], engines: int, accounts: dict[str, int], **more: Any) -> Line:
    return {
        'at_s': 0,
        'event': 'fleet',
        'data_centres': names,
        'routers': 2,
        'engines': [engines for _ in names],
        'services': [1 for _ in names],
        'accounts': accounts,
        'aged_s': 0,
        **more,
    }


def _fault(at_s: float, fault: str, *names: str) -> Line:
    return {'at_s': at_s, 'event': 'fault', 'fault': fault, 'names': names}


def _top_up(at_s: float, account: str, tokens: int, router: str) -> Line:
    return {
        'at_s': at_s,
        'event': 'top_up',
        'account': account,
        'tokens': tokens,
        'id': f'invoice-{account}-{at_s:.0f}',
        'router': router,
    }


def _change(at_s: float, line: str, router: str) -> Line:
    return {'at_s': at_s, 'event': 'change', 'line': line, 'router': router}


PORTO = ('porto-a', 'porto-b', 'porto-c')
RAJKOT = ('aji-hall', 'metoda-hall', 'shapar-hall')
ATELIERS = (
    'ateliers-do-norte', 'casa-lima', 'estudio-foz', 'sala-branca', 'linho', 'azul-interiores',
    'ribeira', 'cortica', 'mesa-sete', 'varanda',
)  # fmt: skip
SHOPS = (
    'patel-laser', 'shapar-sheet', 'gondal-steel', 'metoda-cut', 'jamnagar-brass', 'aji-press',
    'kalavad-fab', 'morbi-panels', 'lodhika-plates', 'wankaner-tools',
)  # fmt: skip
AZULEJO = _firm(
    PORTO,
    2,
    {name: 400_000 // (rank + 1) for rank, name in enumerate(ATELIERS)},
    models=['board', 'caption'],
    service='palette',
    cost_tokens=5,
    answer_tokens=32,
)
BOARDS = (
    Kind(3, 'board', (80, 200), (40, 120), stream=True),
    Kind(3, 'caption', (6, 20), (8, 24)),
    Kind(2, 'caption', (4, 10), (4, 12)),
    Kind(2, method='GET'),
)
NESTKALA = _firm(
    RAJKOT,
    3,
    {name: 300_000 // (rank + 1) for rank, name in enumerate(SHOPS)},
    models=['nesting', 'tagging'],
    service='records',
    cost_tokens=5,
    answer_tokens=32,
)
PLATES = (
    Kind(3, 'nesting', (60, 160), (40, 120), stream=True),
    Kind(2, 'nesting', (10, 30), (16, 48), stream=True),
    Kind(2, 'tagging', (4, 12), (4, 12)),
    Kind(2, method='GET'),
    Kind(2, method='POST', once=True),
    Kind(1, 'nesting', (10, 30), (16, 48), once=True),
)
MAY_BE_LOST = (ANSWERED, UNKNOWN, 'broken', 'refused answer_broken', *UNSURE)
PLANS = (
    Plan(
        'azulejo-hour',
        AZULEJO,
        BOARDS,
        requests=300,
        length_s=240,
        others=(
            _top_up(60, ATELIERS[0], 20_000, 'porto-b-router-1'),
            _change(90, 'drain server:porto-a/llm-1', 'porto-a-router-2'),
            _change(150, 'undrain server:porto-a/llm-1', 'porto-c-router-1'),
        ),
    ),
    Plan(
        'azulejo-parted',
        AZULEJO,
        BOARDS,
        requests=300,
        length_s=360,
        bursts=(60, 260),
        others=(
            _fault(60, 'data centres part', 'porto-b'),
            _top_up(90, ATELIERS[0], 50_000, 'porto-a-router-1'),
            _top_up(120, ATELIERS[1], 50_000, 'porto-b-router-2'),
            _fault(140, 'data centres lose the store', 'porto-b'),
            _top_up(180, ATELIERS[2], 50_000, 'porto-c-router-1'),
            _fault(260, 'links heal'),
        ),
        attempts=4,
        false_refused_tries=4,
    ),
    Plan(
        'azulejo-storeless',
        AZULEJO,
        BOARDS,
        requests=400,
        length_s=800,
        bursts=(60, 200),
        others=(
            _fault(60, 'store fails'),
            _fault(200, 'instances die', 'porto-a-router-1'),
            _fault(420, 'instances return', 'porto-a-router-1'),
            _fault(660, 'store returns'),
            _top_up(670, ATELIERS[0], 50_000, 'porto-a-router-1'),
        ),
        attempts=5,
        false_refused_tries=2,
    ),
    Plan(
        'nestkala-shift',
        NESTKALA,
        PLATES,
        requests=300,
        length_s=300,
        bursts=(40, 70, 150, 210),
        others=(
            _fault(40, 'instances die', 'aji-hall-router-1'),
            _fault(70, 'backend servers die', 'metoda-hall-llm-1'),
            _fault(100, 'instances return', 'aji-hall-router-1'),
            _fault(130, 'backend servers return', 'metoda-hall-llm-1'),
            _fault(150, 'instances die', 'shapar-hall-llm-2', 'shapar-hall-app-1'),
            _fault(190, 'instances return', 'shapar-hall-llm-2', 'shapar-hall-app-1'),
            _fault(210, 'instances pause', 'metoda-hall-router-2'),
            _fault(240, 'instances wake', 'metoda-hall-router-2'),
            _fault(20, 'store loses answers', '5'),
        ),
        attempts=5,
        once_outcomes=MAY_BE_LOST,
        answered_share=0.99,
        false_refused_tries=5,
    ),
    Plan(
        'nestkala-parted',
        # Holders that are older than the time for which marks of retries last.
        {**NESTKALA, 'aged_s': 620},
        PLATES,
        requests=260,
        length_s=280,
        bursts=(50, 120),
        others=(
            _fault(50, 'data centres part', 'aji-hall'),
            _top_up(80, SHOPS[0], 9_000, 'aji-hall-router-1'),
            _top_up(110, SHOPS[0], 9_000, 'shapar-hall-router-2'),
            _fault(120, 'instances die', 'metoda-hall-router-1'),
            _fault(220, 'links heal'),
            _fault(240, 'instances return', 'metoda-hall-router-1'),
        ),
        attempts=5,
        once_outcomes=MAY_BE_LOST,
        answered_share=0.95,
        false_refused_tries=4,
    ),
    Plan(
        'nestkala-tight',
        {**NESTKALA, 'accounts': {SHOPS[0]: 9_000, SHOPS[1]: 4_000}},
        PLATES[:4],
        requests=300,
        length_s=240,
        others=(
            _top_up(200, SHOPS[0], 2_000, 'metoda-hall-router-1'),
            _top_up(200, SHOPS[1], 1_000, 'aji-hall-router-1'),
        ),
        attempts=3,
        outcomes=(ANSWERED, EXHAUSTED),
        answered_share=0.9,
    ),
)


if __name__ == '__main__':
    main()
