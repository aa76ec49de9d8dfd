"""Measure routing policies on seeded traces before fake engines, in virtual time.

    tools/bench_routing.py --out FILE.jsonl [--policy P ...] [--fault F ...] [--load L ...]
    tools/bench_routing.py --report FILE.jsonl      prints the tables of the runs in a file

Loads are shares of a firm's capacity: the highest rate at which one router that knows
everything keeps the goal (first token 0.81 s, 27 ms between tokens, for 95 in 100) and
refuses nothing.  Runs go side by side in a few processes; each is deterministic.
"""

import argparse
import itertools
import pathlib
from concurrent import futures

import msgspec
from loguru import logger

from endivesaddle.stand_ins.batching_bench import measure
from endivesaddle.stand_ins.batching_faults import FAULTS
from endivesaddle.stand_ins.batching_tally import Figures, Run

CAPACITY = (('azulejo', 64), ('nestkala', 100))
"""Requests a second at full capacity, found with the fault ``oracle``."""
LOADS = (0.5, 1.0, 1.5)
POLICIES = ('earliest_first_token', 'round_robin', 'least_outstanding', 'prefix_hash')
PROCESSES = 4
SECOND_MS = 1000
HEAD = (
    '| firm | load | fault | policy | first token ms 50/95/99 | between ms 50/95/99 | good % '
    '| good tokens/s | refused (false) | late | failed | cache % | fairness |'
)


def runs(asked: argparse.Namespace) -> list[Run]:
    """Return the runs that were asked for."""
    return [
        Run(firm, policy, rate * load, fault, seed)
        for (firm, rate), load, fault, policy, seed in itertools.product(
            CAPACITY, asked.load, asked.fault, asked.policy, asked.seed
        )
        if not asked.firm or firm in asked.firm
    ]


def line(figures: Figures) -> str:
    """Return one row of the table."""
    run = figures.run
    load = run.rate / dict(CAPACITY)[run.firm]
    cells = (
        run.firm,
        f'{load:.2g}',
        run.fault,
        run.policy,
        _milliseconds(figures.first_token_s),
        _milliseconds(figures.between_tokens_s),
        f'{100 * figures.good / figures.offered:.1f}',
        f'{figures.good_tokens_per_s:.0f}',
        f'{figures.refused} ({figures.false_refusals})',
        str(figures.late),
        str(figures.failed),
        f'{100 * figures.cache_hit_share:.0f}',
        f'{figures.fairness:.2f}',
    )
    return f'| {" | ".join(cells)} |'


def table(all_figures: list[Figures]) -> list[str]:
    """Return the runs as a table."""
    rows = sorted(all_figures, key=lambda each: (each.run.firm, each.run.rate, each.run.fault))
    rule = '|---' * (HEAD.count('|') - 1)
    return [HEAD, f'{rule}|', *(line(figures) for figures in rows)]


def main() -> None:
    """Run what was asked for, or report what was run."""
    asked = _arguments()
    if asked.report:
        lines = pathlib.Path(asked.report).read_bytes().splitlines()
        decode = msgspec.json.Decoder(Figures).decode
        print('\n'.join(table([decode(raw) for raw in lines])))
        return
    logger.remove()
    with futures.ProcessPoolExecutor(asked.processes) as pool, open(asked.out, 'wb') as out:
        for figures in pool.map(measure, runs(asked)):
            out.writelines((msgspec.json.encode(figures), b'\n'))
            print(line(figures), flush=True)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--out', default='/dev/null')
    parser.add_argument('--report')
    parser.add_argument('--firm', nargs='*')
    parser.add_argument('--load', nargs='*', type=float, default=LOADS)
    parser.add_argument('--fault', nargs='*', default=FAULTS[:-1])
    parser.add_argument('--policy', nargs='*', default=POLICIES)
    parser.add_argument('--seed', nargs='*', type=int, default=(1,))
    parser.add_argument('--processes', type=int, default=PROCESSES)
    return parser.parse_args()


def _milliseconds(seconds: tuple[float, ...]) -> str:
    return '/'.join(f'{each * SECOND_MS:.0f}' for each in seconds)


if __name__ == '__main__':
    main()
