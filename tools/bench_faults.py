"""Run the fault matrix: every fault at every step, for four kinds of request.

Prints the cells that broke a promise, by name, and a summary for docs/FAULTS.md.
``--only WORDS`` keeps cells whose name has these words;
``--pairs N --seed S`` plays pairs of faults, drawn by the seed.  Cells share nothing and
run side by side in processes; every one is in virtual time and says the same on
every run.
"""

import argparse
import collections
import pathlib
import sys
from concurrent import futures

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from loguru import logger

from subjects.fault_matrix import Cell, Pair, Result, cells, pairs, play


def main() -> int:
    """Run the cells and print what came out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', default='', help='words that a cell has to have in its name')
    parser.add_argument('--workers', type=int, default=6, help='processes side by side')
    parser.add_argument('--pairs', type=int, default=0, help='play so many drawn pairs instead')
    parser.add_argument('--seed', type=int, default=1, help='what the pairs are drawn by')
    options = parser.parse_args()
    chosen: list[Cell | Pair] = list(pairs(options.pairs, options.seed))
    chosen = chosen or [cell for cell in cells() if options.only in cell.name]
    with futures.ProcessPoolExecutor(options.workers, initializer=logger.remove) as pool:
        results = [
            told(future.result())
            for future in futures.as_completed([pool.submit(run, cell) for cell in chosen])
        ]
    summarize(results)
    return int(any(one.broken for one in results))


def run(cell: Cell | Pair) -> Result:
    """Run one cell; a fault of the scene itself is a broken cell, too."""
    try:
        return play(cell)
    except Exception as error:
        return Result(cell, [f'the scene broke off: {error!r}'], (), 0, False)


def told(result: Result) -> Result:
    """Print the broken promises of a cell as soon as it has been played.

    A cell whose step was not reached proves nothing, and is named too.
    """
    if not result.injected:
        print(f'{result.cell.name}: not struck', flush=True)
    for text in result.broken:
        print(f'{result.cell.name}: {text}', flush=True)
    return result


def fault_of(cell: Cell | Pair) -> str:
    """Return the fault that a row of the summary is about."""
    return cell.fault if isinstance(cell, Cell) else cell.first.fault


def summarize(results: list[Result]) -> None:
    """Print tables of shares by fault, outcomes, and runs for each request."""
    by_fault: dict[str, list[bool]] = collections.defaultdict(list)
    for result in results:
        by_fault[fault_of(result.cell)].append(not result.broken)
    print('\n| fault | cells | passed |\n|---|---|---|')
    for fault, passed in sorted(by_fault.items()):
        print(f'| {fault} | {len(passed)} | {sum(passed)} |')
    print(f'\ncells: {len(results)}, struck: {sum(one.injected for one in results)}')
    print('passed:', sum(not one.broken for one in results))
    outcomes = collections.Counter(outcome for one in results for outcome in one.outcomes)
    print('answers by outcome:', dict(outcomes.most_common()))
    print('runs of a request:', dict(collections.Counter(one.arrivals for one in results)))


if __name__ == '__main__':
    sys.exit(main())
