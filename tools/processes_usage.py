"""What idle processes hold and use, by the kernel's count, and what imports alone cost."""

import os
import pathlib
import subprocess
import sys
import time

import anyio
from processes_fleet import Fleet

SETTLE_S = 5
IDLE_S = 20
KIB = 1024
TICKS_A_SECOND = os.sysconf('SC_CLK_TCK')
IMPORTS = (
    ('python alone', 'pass'),
    ('grpclib and protobuf', 'import grpclib.server, google.protobuf.message'),
    ('hypercorn', 'import hypercorn.asyncio'),
    ('httpx', 'import httpx'),
    ('lark', 'import lark'),
    ('cappa and rich', 'import cappa, rich.console'),
    ('aioprometheus', 'import aioprometheus'),
    ('endivesaddled', 'import endivesaddle.daemon.cli'),
)
SHOW = "\nprint(next(l.split()[1] for l in open('/proc/self/status') if l.startswith('VmRSS')))"


def memory(pid: int) -> dict[str, float]:
    """Return the resident and proportional memory of a process in MiB."""
    lines = pathlib.Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines()[1:]
    figures = {line.split(':')[0]: int(line.split()[1]) / KIB for line in lines}
    return {'rss': figures['Rss'], 'pss': figures['Pss'], 'dirty': figures['Private_Dirty']}


def cpu_s(pid: int) -> float:
    """Return the processor time of a process."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(stat[11]) + int(stat[12])) / TICKS_A_SECOND


async def tell_idle(fleet: Fleet) -> None:
    """Print memory and processor time of routers and sidecars that have no work."""
    await anyio.sleep(SETTLE_S)
    before = {running.pid: cpu_s(running.pid) for running in fleet.daemons}
    began_s = time.perf_counter()
    await anyio.sleep(IDLE_S)
    passed_s = time.perf_counter() - began_s
    after = {running.pid: cpu_s(running.pid) for running in fleet.daemons}
    for role, group in (('router', fleet.routers), ('sidecar', list(fleet.sidecars.values()))):
        shares = [(after[one.pid] - before[one.pid]) / passed_s for one in group]
        held = [memory(one.pid) for one in group]
        told = ', '.join(
            f'{kind} {min(row[kind] for row in held):.1f}..{max(row[kind] for row in held):.1f}'
            for kind in ('rss', 'pss', 'dirty')
        )
        print(
            f'{len(group)} idle {role}s: {sum(shares) / len(shares):.2%} of a core on average,'
            f' {max(shares):.2%} at most; MiB {told}'
        )
    tell_imports()


def tell_imports() -> None:
    """Print the resident memory of a process that only imports."""
    for name, text in IMPORTS:
        done = subprocess.run(
            [sys.executable, '-c', text + SHOW], capture_output=True, text=True, check=True
        )
        print(f'  imports, {name}: {int(done.stdout) / KIB:.1f} MiB resident')
