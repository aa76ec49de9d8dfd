"""Measure how soon a change of the configuration is in force at every process.

Usage: tools/bench_config.py [--size 30|1210] [--case NAME]... [--changes N]
       [--only tree|direct] [--skip-rest]

The real classes run over links and a store in memory, in virtual time, all
processes of a fleet in this one; docs/design/distribution.md quotes the tables.
Lags don't include the time that a machine's processors would need.
"""

import argparse
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from endivesaddle.fleet import revisions  # noqa: E402
from endivesaddle.fleet.distribution import DistributionSettings  # noqa: E402
from endivesaddle.fleet.registry import Registry  # noqa: E402
from endivesaddle.stand_ins import virtual  # noqa: E402
from subjects import config_bench as bench  # noqa: E402

SETTLE_S = 8
APART_S = 2.37
TOGETHER_S = 6
OUTAGE_S = 60
DAY_S = 86_400
CHANGES_A_DAY = 1400
BYTES_S = 20
CPU_S = 10
RACING = 20
HEAD = """| who watches, case | lags | p50 s | p99 s | worst s | missing | watches open | reads/s |
|---|---|---|---|---|---|---|---|"""


class Bed(NamedTuple):
    """One fleet under measurement."""

    fleet: Any
    operators: bench.Operators
    lags: bench.Lags
    names: Callable[[], set[str]]


CASES: Registry[Callable[[Bed, int], Awaitable[list[float]]]] = Registry('case')
DIRECT_CASES = ('no fault', 'silent watches', 'store down and back', 'twenty racing')


@CASES.add('no fault')
async def no_fault(bed: Bed, changes: int) -> list[float]:
    """Accept changes a few seconds apart."""
    first = len(bed.operators.accepted_unix_s) + 1
    for _ in range(changes):
        await bed.operators.change()
        await anyio.sleep(APART_S)
    return await _all_since(bed, first)


@CASES.add('relay lost')
async def relay_lost(bed: Bed, changes: int) -> list[float]:
    """Lose a relay in the moment of each change; a new process takes its place later."""
    first = len(bed.operators.accepted_unix_s) + 1
    for number in range(changes):
        data_centre = f'dc-{number % len(bench.data_centres(bed.fleet))}'
        lost = bench.relays(bed.fleet, data_centre)[number % 2]
        bed.fleet.kill(lost)
        await bed.operators.change()
        await anyio.sleep(SETTLE_S)
        bed.fleet.start(f'{lost}+', 'router', bench.some_routers(bed.fleet))
        bench.follow(bed.fleet, bed.lags)
        await anyio.sleep(SETTLE_S)
    return await _all_since(bed, first)


@CASES.add('both relays lost')
async def both_lost(bed: Bed, changes: int) -> list[float]:
    """Lose both relays of a data centre in the moment of a change."""
    first = len(bed.operators.accepted_unix_s) + 1
    for lost in bench.relays(bed.fleet, 'dc-1'):
        bed.fleet.kill(lost)
    await bed.operators.change()
    await anyio.sleep(SETTLE_S)
    return await _all_since(bed, first)


@CASES.add('partition healed')
async def partition_healed(bed: Bed, changes: int) -> list[float]:
    """Cut a data centre off from all and the store; count from the end of the partition."""
    inside = bed.fleet.addresses(name for name in bed.fleet.nodes if name.startswith('dc-1/'))
    bed.fleet.net.part(inside, bed.fleet.addresses(bed.fleet.nodes) - inside)
    bed.fleet.faults.cut.update(inside)
    await anyio.sleep(OUTAGE_S)
    revision = await bed.operators.change()
    await anyio.sleep(TOGETHER_S)
    bed.fleet.net.heal()
    bed.fleet.faults.cut.clear()
    healed_unix_s = bed.fleet.clock.now_s()
    late_s = healed_unix_s - bed.operators.accepted_unix_s[revision]
    await _reach(bed, revision)
    found = bed.lags.found_s[revision]
    cut_off = [lag for name, lag in found.items() if name.startswith('dc-1/')]
    return sorted(lag - late_s for lag in cut_off)


@CASES.add('store down and back')
async def store_back(bed: Bed, changes: int) -> list[float]:
    """Accept a change right after the store came back from an outage."""
    bed.fleet.store.fail(down=True)
    await anyio.sleep(OUTAGE_S)
    bed.fleet.store.fail(down=False)
    first = await bed.operators.change()
    return await _all_since(bed, first)


@CASES.add('silent watches')
async def silent_watches(bed: Bed, changes: int) -> list[float]:
    """Have all watches wait for good without a word; only reading again helps."""
    bed.fleet.faults.deaf.update(bed.fleet.addresses(bed.fleet.nodes) | bed.names())
    found = await no_fault(bed, RACING)
    bed.fleet.faults.deaf.clear()
    await anyio.sleep(DistributionSettings().watch_s)
    return found


@CASES.add('twenty racing')
async def twenty_racing(bed: Bed, changes: int) -> list[float]:
    """Accept changes without a pause; count the last one."""
    first = 0
    for _ in range(RACING):
        first = await bed.operators.change()
    return await _all_since(bed, first)


@CASES.add('1,400 a day')
async def a_day(bed: Bed, changes: int) -> list[float]:
    """Accept changes as far apart as on a day at the size to design for."""
    first = len(bed.operators.accepted_unix_s) + 1
    for _ in range(2):
        await bed.operators.change()
        await anyio.sleep(DAY_S / CHANGES_A_DAY)
    return await _all_since(bed, first)


async def _all_since(bed: Bed, first: int) -> list[float]:
    await _reach(bed, len(bed.operators.accepted_unix_s))
    return bed.lags.since(first)


async def _reach(bed: Bed, revision: int) -> None:
    with anyio.move_on_after(OUTAGE_S):
        while bed.lags.missing(bed.names(), revision):
            await anyio.sleep(0.1)


async def _tree(size: bench.Size, cases: list[str], changes: int, skip_rest: bool) -> None:
    async with anyio.create_task_group() as group:
        fleet = bench.build_fleet(group, size)
        operators = bench.Operators(fleet, size.accounts)
        lags = bench.Lags(fleet, operators)
        bed = Bed(fleet, operators, lags, lambda: set(fleet.nodes))
        await operators.change()
        bench.follow(fleet, lags)
        await anyio.sleep(SETTLE_S)
        if not skip_rest:
            await _rest(bed)
        print(HEAD)
        for case in cases:
            bench.follow(fleet, lags)
            await _measure(bed, f'tree, {case}', CASES.find(case), changes)
        group.cancel_scope.cancel()


async def _direct(size: bench.Size, cases: list[str], changes: int, reread: bool) -> None:
    async with anyio.create_task_group() as group:
        fleet = bench.Fleet.over_stand_ins(group)
        operators = bench.Operators(fleet, size.accounts)
        lags = bench.Lags(fleet, operators)
        direct = bench.Direct(fleet, DistributionSettings(), reread)
        direct.start(group, size)
        direct.follow(lags)
        bed = Bed(fleet, operators, lags, lambda: set(direct.revision_states))
        await operators.change()
        await anyio.sleep(SETTLE_S)
        for case in cases:
            label = 'each watches and rereads' if reread else 'each watches'
            await _measure(bed, f'{label}, {case}', CASES.find(case), changes)
        group.cancel_scope.cancel()


async def _measure(bed: Bed, label: str, case: Any, changes: int) -> None:
    before = dict(bed.fleet.store.calls)
    began_unix_s = bed.fleet.clock.now_s()
    found = await case(bed, changes)
    took_s = bed.fleet.clock.now_s() - began_unix_s
    reads = bed.fleet.store.calls['read'] - before['read']
    missing = bed.lags.missing(bed.names(), len(bed.operators.accepted_unix_s))
    lags_s = ' | '.join(f'{bench.percentile(found, part):.3f}' for part in (0.5, 0.99, 1))
    print(
        f'| {label} | {len(found)} | {lags_s} | {len(missing)}'
        f' | {bench.watching(bed.fleet)} | {reads / took_s:.2f} |',
        flush=True,
    )


async def _rest(bed: Bed) -> None:
    """Print what the fleet costs while the configuration rests, by role."""
    traffic = bench.Traffic()
    bed.fleet.net.observers.append(traffic.observe)
    await anyio.sleep(BYTES_S)
    bed.fleet.net.observers.remove(traffic.observe)
    print('| role | processes | bytes/s mean | bytes/s most | calls/s mean | calls/s most |')
    print('|---|---|---|---|---|---|')
    for role, addresses in bench.roles(bed.fleet):
        rates = [traffic.total_bytes(address) / BYTES_S for address in addresses]
        calls = [traffic.calls[address] / BYTES_S for address in addresses]
        print(
            f'| {role} | {len(addresses)} | {sum(rates) / len(rates):.0f} | {max(rates):.0f}'
            f' | {sum(calls) / len(calls):.1f} | {max(calls):.1f} |'
        )
    began_s = bench.cpu_s()
    await anyio.sleep(CPU_S)
    share = (bench.cpu_s() - began_s) / CPU_S / len(bed.fleet.nodes)
    print(f'processor time: {share:.3%} of a core for each process, links not included\n')


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--size', choices=[size.name for size in bench.SIZES], default='30')
    parser.add_argument('--case', action='append', default=[])
    parser.add_argument('--changes', type=int, default=20)
    parser.add_argument('--only', choices=('tree', 'direct'), default='')
    parser.add_argument('--skip-rest', action='store_true')
    return parser.parse_args()


def main() -> None:
    """Run the cases of one size, the tree first, then the plain alternative."""
    options = _options()
    logger.remove()
    size = next(size for size in bench.SIZES if size.name == options.size)
    revisions.assemble = bench.shared_assemble()
    cases = options.case or list(CASES)
    if options.only != 'direct':
        virtual.run(lambda: _tree(size, cases, options.changes, options.skip_rest))
    if options.only != 'tree':
        direct_cases = [case for case in cases if case in DIRECT_CASES]
        virtual.run(lambda: _direct(size, direct_cases, options.changes, reread=False))
        virtual.run(lambda: _direct(size, direct_cases, options.changes, reread=True))


if __name__ == '__main__':
    main()
