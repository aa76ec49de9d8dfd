"""Play fleets in which anything happens in any order, and compare their retries with the budget.

    tools/bench_retries.py [--routers N] [--plays N] [--first SEED] [--jobs N] [--former]

Prints a line for each play: the worst window, its retries, those allowed, and the share of the
retries asked for that were granted; with ``--former`` of the shares that routers had before.
Exits with 1 if a window has more retries than allowed.
"""

import argparse
import pathlib
import sys
from concurrent import futures
from functools import partial
from typing import NamedTuple

from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))
from subjects.retry_faults import RetryPlay
from subjects.retry_plays import AFTER_S, CALM_S, FAULTS_S, Window


class Outcome(NamedTuple):
    """What one play came to."""

    seed: int
    worst: Window
    granted_share: float


def play(routers: int, former: bool, seed: int) -> Outcome:
    """Play one seed."""
    logger.remove()
    fleet_play = RetryPlay(routers, seed, former)
    fleet_play.play('anything happens in any order')
    worst = fleet_play.fleet.worst()
    traffic = fleet_play.fleet.traffic[worst.service]
    share = traffic.granted_share(CALM_S, CALM_S + FAULTS_S + AFTER_S)
    fleet_play.close()
    return Outcome(seed, worst, share)


def main() -> int:
    """Play all seeds, and print the worst of them last."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--routers', type=int, default=3)
    parser.add_argument('--plays', type=int, default=20)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--former', action='store_true')
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.plays)
    outcomes = []
    with futures.ProcessPoolExecutor(options.jobs) as pool:
        for outcome in pool.map(partial(play, options.routers, options.former), seeds):
            outcomes.append(outcome)
            worst = outcome.worst
            print(
                f'seed {outcome.seed}: {worst.retries} retries, {worst.allowed:.0f} allowed '
                f'from {worst.began_s:.1f} s; granted {outcome.granted_share:.3f}',
                flush=True,
            )
    broken = [one for one in outcomes if one.worst.excess > 0]
    closest = max(outcomes, key=lambda one: one.worst.retries / one.worst.allowed)
    print(
        f'{len(outcomes)} plays of {options.routers} routers, {len(broken)} beyond the budget; '
        f'closest: seed {closest.seed}, {closest.worst.retries} of {closest.worst.allowed:.0f}'
    )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
