"""Measure declarations at the size to design for: time, store calls, longest stall.

Run with ``.venv/bin/python tools/bench_declarations.py [accounts ...]``.  The store is
in memory and answers each call after a millisecond.  ``stall`` is the longest time
for which the router served nobody else, seen by a task that wakes each millisecond.
"""

import contextlib
import sys
import time
from collections.abc import Iterator
from typing import Any

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.identity import Identity
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.declarations import packed, read_declarations
from endivesaddle.operators.desk import Desk, DeskPorts
from endivesaddle.operators.service import OperatorService
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore

DATA_CENTRES = 7
SERVERS = 800
FILE = 'bench.toml'
ADDRESS = '10.0.0.1:7000'
TICK_S = 0.001
CHANGES_LISTED = 16
RACERS = 20
HEAD = f"""[models.board]
[operators.ines]
token_digest = "{token_digest('ines')}"
role = "operator"
[data_centres]
"""
ACCOUNT = """[accounts.account-{number:05}]
key_digests = ["{digest}"]
budget_tokens = 1_000_000
"""
SERVER = """[servers."dc-{centre}/llm-{number}"]
data_centre = "dc-{centre}"
url = "http://10.{centre}.2.1:8000"
kind = "engine"
models = ["board"]
"""


class View:
    """What the router knows: the configuration in force."""

    def __init__(self) -> None:
        """Start with none."""
        self.configuration = Configuration()

    def members(self, role: str, data_centre: str = '') -> list[Any]:
        """Return nobody."""
        return []


class Bench:
    """One router over a store that answers in a millisecond."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        """Start with an empty store, or beside other routers."""
        self.clock = LoopClock()
        self.store = store or MemoryStore(self.clock)
        self.view = View()
        self.stall_s = 0.0
        identity = Identity('r-1', 'router', 'dc-0', 'region-0', ADDRESS, 1)
        peers = MemoryNet(self.clock).peers(ADDRESS)
        ports = DeskPorts(self.store, peers, self.clock, self.view)  # type: ignore[arg-type]
        self.desk = Desk(OperatorSettings(bootstrap_token='ines', change_s=60), identity, ports)
        self.service = OperatorService(self.desk)

    async def measure(self, name: str, line: str, change_id: str = '') -> None:
        """Run one command, and print what it took."""
        self.store.calls = dict.fromkeys(self.store.calls, 0)
        self.stall_s = 0
        began_s, began_processor_s = self.clock.now_s(), time.process_time()
        status, _ = await self.service.command('ines', line, change_id)
        waited_s = self.clock.now_s() - began_s
        processor_s = time.process_time() - began_processor_s
        await anyio.sleep(2 * TICK_S)
        told = ' '.join(f'{kind}={count}' for kind, count in self.store.calls.items() if count)
        times = [f'{one * 1000:8.1f}' for one in (waited_s, processor_s, self.stall_s)]
        print(f'{name:30} {status} {" ".join(times)}  {told}')
        loaded = await self.desk.configurations.load(self.desk.deadline_unix_s())
        self.view.configuration = getattr(loaded, 'configuration', self.view.configuration)

    async def race(self) -> None:
        """Have operators at routers of their own drain one server each, at once."""
        routers = [Bench(self.store) for _ in range(RACERS)]
        for router in routers:
            router.view.configuration = self.view.configuration
            await router.desk.configurations.load(router.desk.deadline_unix_s())
        self.store.calls = dict.fromkeys(self.store.calls, 0)
        began_s = self.clock.now_s()
        heard: list[int] = []
        async with anyio.create_task_group() as tasks:
            for number, router in enumerate(routers):
                tasks.start_soon(router.drain, number, heard)
        waited_ms = (self.clock.now_s() - began_s) * 1000
        print(f'{RACERS} racing drains: HTTP {set(heard)}, the last after {waited_ms:.1f} ms,')
        print(f'    store calls {self.store.calls}')

    async def drain(self, number: int, heard: list[int]) -> None:
        """Drain a server that no other racer drains."""
        line = f'drain server:dc-1/llm-{number * DATA_CENTRES + 1}'
        status, _ = await self.service.command('ines', line, f'race-{number}')
        heard.append(status)

    async def tick(self) -> None:
        """Note the longest time that this task could not run."""
        while True:
            began_s = time.perf_counter()
            await anyio.sleep(TICK_S)
            self.stall_s = max(self.stall_s, time.perf_counter() - began_s - TICK_S)


def document(accounts: int) -> str:
    """Return declarations of the size to design for."""
    tables = [HEAD]
    tables.extend(f'dc-{number} = "region-{number % 2}"' for number in range(DATA_CENTRES))
    for account in range(accounts):
        tables.append(ACCOUNT.format(number=account, digest=token_digest(str(account))))
    for server in range(SERVERS):
        tables.append(SERVER.format(number=server, centre=server % DATA_CENTRES))
    return '\n'.join(tables)


@contextlib.contextmanager
def timed(name: str) -> Iterator[None]:
    """Print the processor time of a block."""
    began_s = time.process_time()
    yield
    print(f'{name:30} {(time.process_time() - began_s) * 1000:8.1f} ms')


def measure_parts(text: str) -> None:
    """Measure what a file costs to read, and its parts to make and to put together."""
    print(f'file {len(text)} bytes, packed {len(packed(text, FILE))}')
    with timed('read and check the file'):
        wanted = read_declarations(text, FILE)
    with timed('make all parts'):
        parts = revisions.parts_of(wanted)
    head = revisions.empty_head()
    head['parts'] = {part.name: part.digest for part in parts}
    bodies = {part.digest: part.body for part in parts}
    with timed('put all parts together'):
        revisions.assemble(head, bodies)
    sizes = [len(body) for body in bodies.values()]
    print(f'{len(parts)} parts, {sum(sizes)} bytes, largest {max(sizes)}')


def steps(text: str) -> Iterator[tuple[str, str, str]]:
    """Yield the commands that are measured: name, line and change id."""
    first = f'base:0\n{packed(text, FILE)}'
    one = packed(text.replace('1_000_000', '2_000_000', 1), FILE)
    yield 'plan of the first file', f'plan\n{packed(text, FILE)}', ''
    yield 'apply of the first file', f'apply {first}', 'a-1'
    yield 'the same change again', f'apply {first}', 'a-1'
    yield 'plan of one changed budget', f'plan\n{one}', ''
    yield 'apply of one changed budget', f'apply base:1\n{one}', 'a-2'
    for change in range(CHANGES_LISTED + 2):
        yield f'drain number {change}', f'drain server:dc-0/llm-{change * DATA_CENTRES}', ''
    yield 'top-up', 'top-up account-00000 500', ''
    yield 'account', 'account account-00000', ''


async def run(accounts: int) -> None:
    """Measure all steps for a number of accounts."""
    text = document(accounts)
    print(f'\n{accounts} accounts, {SERVERS} servers')
    measure_parts(text)
    bench = Bench()
    print(f'{"command":30} {"HTTP":3} {"waited":>7} {"cpu":>8} {"stall":>8} ms, store calls')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.tick)
        for step in steps(text):
            await bench.measure(*step)
        tasks.cancel_scope.cancel()
    await bench.race()
    stored = await bench.store.read(revisions.HEAD_KEY, bench.desk.deadline_unix_s())
    print(f'head with {CHANGES_LISTED} changes: {len(getattr(stored, "value", b""))} bytes')


if __name__ == '__main__':
    for count in [int(word) for word in sys.argv[1:]] or [9100, 20_000]:
        anyio.run(run, count)
