"""Measure a fleet of 30 processes that really run, in three data centres.

Run with ``tools/bench processes [idle|changes|faults|relays]``; docs/design/processes.md has the
figures.  Other work on the machine is told beside them, as its load.
"""

import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import anyio
from loguru import logger
from processes_callers import load_under_faults
from processes_fleet import DATA_CENTRES, Fleet, open_fleet
from processes_usage import tell_idle

CHANGES = 50
FAULTY_CHANGES = 10
APART_S = 0.3
LOOK_S = 0.1
GIVE_UP_S = 60
STORE_STOPPED_S = 20


def percentile(figures: list[float], share: float) -> float:
    """Return a percentile."""
    return sorted(figures)[min(len(figures) - 1, int(len(figures) * share))]


def tell_load() -> None:
    """Print the load of the machine."""
    print(f'load of the machine: {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores')


async def change(fleet: Fleet, number: int) -> tuple[float, float, int]:
    """Make one change; return when it was asked for and accepted, and its revision."""
    asked_unix_s = time.time()
    verdict = ('may', 'never')[number % 2]
    reply = await fleet.command(f'repeat service:labels path:/bench {verdict} method:PUT')
    accepted_unix_s = time.time()
    if reply['status']:
        return asked_unix_s, accepted_unix_s, 0
    return asked_unix_s, accepted_unix_s, int(reply['details']['revision'])


async def in_force(fleet: Fleet, revision: int) -> list[float]:
    """Return when each process took a revision, by its own dump; infinite for none."""
    taken: dict[str, float] = {}
    until_s = time.perf_counter() + GIVE_UP_S
    while time.perf_counter() < until_s:
        for running in fleet.daemons:
            if running.name not in taken:
                state = (await fleet.dump(running))['configuration']
                if state['revision'] >= revision:
                    taken[running.name] = state['in_force_unix_s']
        if len(taken) >= len(fleet.daemons):
            break
        await anyio.sleep(LOOK_S)
    missing = len(fleet.daemons) - len(taken)
    return [*taken.values(), *(float('inf') for _ in range(missing))]


async def tell_changes(fleet: Fleet, name: str, count: int) -> None:
    """Make changes one after the other, and print how late they were in force."""
    lags: list[float] = []
    whole: list[float] = []
    refused = 0
    for number in range(count):
        asked_unix_s, accepted_unix_s, revision = await change(fleet, number)
        if not revision:
            refused += 1
            await anyio.sleep(1)
            continue
        taken = await in_force(fleet, revision)
        lags.extend(max(0.0, at - accepted_unix_s) for at in taken)
        whole.append(max(taken) - asked_unix_s)
        await anyio.sleep(APART_S)
    if not whole:
        print(f'{name}: no change accepted, {refused} not')
        return
    print(
        f'{name}: {len(whole)} changes accepted, {refused} not, at {len(fleet.daemons)} processes;'
        f' after the accepting reply p50 {percentile(lags, 0.5):.3f} s,'
        f' p99 {percentile(lags, 0.99):.3f} s, worst {max(lags):.3f} s;'
        f' from the command sent to the last process: p50 {percentile(whole, 0.5):.3f} s,'
        f' worst {max(whole):.3f} s'
    )


async def bench_changes(fleet: Fleet) -> None:
    """Measure changes without fault, and after the store was stopped."""
    await tell_changes(fleet, 'no fault', CHANGES)
    await stop_store(fleet)
    await tell_changes(fleet, 'store continued', FAULTY_CHANGES)


async def bench_relays(fleet: Fleet) -> None:
    """Measure changes after the death of a relay of each data centre."""
    await kill_relays(fleet)
    await tell_changes(fleet, 'a relay of each data centre killed', FAULTY_CHANGES)


async def stop_store(fleet: Fleet) -> None:
    """Stop the store for a while, and try a change meanwhile."""
    store = fleet.stand_ins['store']
    store.signal(signal.SIGSTOP)
    _, _, revision = await change(fleet, 0)
    await anyio.sleep(STORE_STOPPED_S)
    store.signal(signal.SIGCONT)
    print(f'store stopped: a change was {"accepted" if revision else "not accepted"}')


async def kill_relays(fleet: Fleet) -> None:
    """Kill the first relay of each data centre."""
    for data_centre in DATA_CENTRES:
        for router in list(fleet.routers):
            place = (await fleet.dump(router))['configuration']['relay']
            if data_centre in router.name and place == 0:
                router.signal(signal.SIGKILL)
                await router.has_ended()
                fleet.routers.remove(router)


async def bench(names: list[str]) -> None:
    """Run parts on one fleet, in their order."""
    async with open_fleet() as fleet:
        for name in names:
            print(f'--- {name}')
            await PARTS[name](fleet)
            tell_load()


PARTS: Mapping[str, Callable[[Fleet], Awaitable[None]]] = MappingProxyType(
    {
        'idle': tell_idle,
        'changes': bench_changes,
        'faults': load_under_faults,
        'relays': bench_relays,
    }
)


def main(names: list[str]) -> None:
    """Run all parts, or those that are named."""
    logger.remove()
    anyio.run(bench, names or list(PARTS))


if __name__ == '__main__':
    main(sys.argv[1:])
