"""Measure overspend and false refusals of the budgets, in virtual time.

Usage: tools/bench_budgets.py [--length SECONDS] [--rate REQUESTS_PER_S] [--seed N]
       [--firm NAME]... [--variant NAME]... [--fault NAME]... [--scale]

Each line is one run of one seeded trace; a false refusal is one that a ledger that
knows all would have admitted when the request came or when it was refused.
"""

import argparse
import sys

from loguru import logger

from endivesaddle.stand_ins.budget_bench import FAULTS, Measured, Run
from endivesaddle.stand_ins.budget_scale import ShardRun, size
from endivesaddle.stand_ins.budget_traces import FIRMS, trace
from endivesaddle.stand_ins.budget_variants import VARIANTS

HEAD = (
    'firm      variant            fault                    requests answered refused'
    ' false overspent reads/s writes/s control B/s'
)


def options() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--length', type=float, default=1800)
    parser.add_argument('--rate', type=float, default=2)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--scale', action='store_true')
    for name in ('firm', 'variant', 'fault'):
        parser.add_argument(f'--{name}', action='append', default=[])
    return parser.parse_args()


def tell(firm: str, variant: str, fault: str, told: Measured) -> None:
    """Print one run."""
    print(
        f'{firm:9} {variant:18} {fault:24} {told.requests:8} {told.answered:8}'
        f' {told.refused:7} {told.false_refusals:5} {told.overspent_tokens:9}'
        f' {told.store_reads_per_s:7} {told.store_writes_per_s:8}'
        f' {told.control_bytes_per_s:11}'
    )
    sys.stdout.flush()


def tell_scale(length_s: float) -> None:
    """Print sizes of records, and the load of one shard at the size of the plan."""
    for grants, paid in ((0, 1), (1, 4), (2, 16), (7, 16), (7, 100)):
        print(size(grants, paid))
    print(ShardRun(length_s, 1).play())


def main() -> None:
    """Run all variants against all faults for both firms, or the size of the plan."""
    asked = options()
    logger.remove()
    if asked.scale:
        tell_scale(asked.length)
        return
    print(HEAD)
    for firm in [firm for firm in FIRMS if not asked.firm or firm.name in asked.firm]:
        played = trace(firm, asked.seed, asked.length, asked.rate)
        for fault in asked.fault or FAULTS:
            for variant in asked.variant or VARIANTS:
                tell(firm.name, variant, fault, Run(played, variant, fault).play())


if __name__ == '__main__':
    main()
