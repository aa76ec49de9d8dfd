"""Measure the runs of a sidecar alone: CPU for each relayed token, memory of kept answers.

Run with ``.venv/bin/python tools/bench_runs.py``; docs/design/runs.md quotes it.
The engine is a generator in the process that yields real-sized events without
waiting, so that only the sidecar's own work is counted.
"""

import gc
import itertools
import pathlib
import resource
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
from loguru import logger

from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import EngineEvent
from endivesaddle.fleet.runs import Runs, RunSettings
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.wire import runs_pb2

TOKENS = 460
BATCH = 16
RUNS = 100
MANY = 2000
KB = 1024
ROUNDS = 5
MICROSECONDS = 1_000_000
EVENT = (
    'data: {{"id":"chatcmpl-8f2c91","object":"chat.completion.chunk","created":1700000000,'
    '"model":"board-composer","choices":[{{"index":0,"delta":{{"content":" word{}"}},'
    '"logprobs":null,"finish_reason":null}}]}}\n\n'
)


class QuickEngine:
    """Yields tokens as fast as they are taken; ``yields`` lets followers run between."""

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Yield one answer, giving way after each token as a real connection does."""
        yield EngineEvent(status=200, headers=(('content-type', 'text/event-stream'),))
        for token in range(TOKENS):
            await anyio.lowlevel.checkpoint()
            yield EngineEvent(data=EVENT.format(token).encode(), used_tokens=token + 1)
        yield EngineEvent(data=b'data: [DONE]\n\n', ended=True, used_tokens=TOKENS)


class View:
    """A fleet that consists of this sidecar."""

    configuration = Configuration()

    def members(self, role: str, data_centre: str = '') -> list[Any]:
        """Return nobody."""
        return []

    def leaving(self, instance: str) -> bool:
        """Return that nobody leaves."""
        return False

    def loads(self) -> dict[str, Any]:
        """Return nothing."""
        return {}


def sidecar(**settings: Any) -> Runs:
    """Return runs whose answers all fit."""
    clock = WallClock()
    identity = Identity('s', 'sidecar', 'porto-a', 'west', '10.0.0.1:1', 1, 'porto-a/llm-1')
    peers = MemoryNet(clock).peers(identity.address)
    settings = RunSettings(max_running=4096, answers_bytes=1 << 30, **settings)
    return Runs(settings, identity, QuickEngine(), peers, View(), clock)


async def start(runs: Runs, key: str) -> None:
    """Start one run."""
    message = runs_pb2.StartRequest(
        request_key=key, account='a', attempt=1, bound_tokens=8192, max_tokens=TOKENS,
        deadline_unix_s=time.time() + 600, method='POST', path='/v1/chat/completions',
        kind='engine', stream=True, digest='d', body=b'x' * 2000,
    )  # fmt: skip
    reply = await runs.start(message)
    assert reply.verdict == 'started', reply


async def follow(runs: Runs, key: str) -> int:
    """Follow one answer as the server of the call does, each chunk serialized."""
    return sum(
        [
            len(chunk.SerializeToString())
            async for chunk in runs.follow(runs_pb2.FollowRequest(request_key=key))
        ]
    )


async def answer_batch(runs: Runs, keys: list[str], followed: bool) -> None:
    """Run answers side by side, each with a follower or with none."""
    async with anyio.create_task_group() as tasks:
        for key in keys:
            await start(runs, key)
            if followed:
                tasks.start_soon(follow, runs, key)
    while runs.counters()['running']:
        await anyio.sleep(0.001)


async def engine_alone() -> float:
    """Return the CPU seconds of a token of the generator itself."""
    began_s = time.process_time()
    events = [event async for event in QuickEngine().run(runs_pb2.StartRequest())]
    return (time.process_time() - began_s) / len(events)


async def token_cpu_s(followed: bool) -> float:
    """Return the CPU seconds of one relayed token, the engine's own included."""
    runs = sidecar()
    numbers = itertools.count()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runs.run)
        await anyio.sleep(0)
        began_s = time.process_time()
        for _ in range(RUNS // BATCH):
            keys = [f'a/r{next(numbers)}' for _ in range(BATCH)]
            await answer_batch(runs, keys, followed)
        took_s = time.process_time() - began_s
        tasks.cancel_scope.cancel()
    return took_s / (RUNS // BATCH * BATCH * TOKENS)


async def memory() -> None:
    """Print the memory of idle runs, of kept answers and of what is remembered."""
    runs = sidecar(keep_answer_s=0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runs.run)
        await anyio.sleep(0)
        before_kb = resident_kb()
        await answer_batch(runs, [f'a/r{number}' for number in range(RUNS)], followed=True)
        kept_kb = resident_kb() - before_kb
        sent_kb = RUNS * TOKENS * len(EVENT.format(100)) / KB
        packed_kb = runs.counters()['kept_bytes'] / KB
        print(f'{RUNS} kept answers: {kept_kb:.0f} KB more resident, {packed_kb:.0f} KB packed')
        print(f'  of {sent_kb:.0f} KB that the engine sent')
        print(f'idle Runs: {growth_kb(sidecar):.0f} KB each')
        past = growth_kb(lambda: past_run(runs))
        print(f'one remembered run without its answer: {past:.2f} KB')
        tasks.cancel_scope.cancel()


def past_run(runs: Runs) -> object:
    """Return what is remembered of a run, as large as a real one."""
    return next(iter(runs._shelf)).past(900)  # noqa: WPS437 (a bench looks inside)


def growth_kb(make: Callable[[], object]) -> float:
    """Return the memory of one of many things, in KB, as Python allocates it."""
    tracemalloc.start()
    made = {f'atelier/request-{number}': make() for number in range(MANY)}
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / len(made) / KB


def resident_kb() -> float:
    """Return the resident memory of this process, in KB."""
    gc.collect()
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / KB


def main() -> None:
    """Print all figures, the CPU ones as median and range of several rounds."""
    logger.disable('endivesaddle')
    # First, while nothing that was freed can be used again.
    anyio.run(memory)
    for name, followed in (('without a follower', False), ('with a follower', True)):
        costs = sorted(anyio.run(token_cpu_s, followed) * MICROSECONDS for _ in range(ROUNDS))
        print(
            f'CPU a token {name}: {costs[ROUNDS // 2]:.1f} us '
            f'({costs[0]:.1f} to {costs[-1]:.1f}, {ROUNDS} rounds)'
        )
    alone = sorted(anyio.run(engine_alone) * MICROSECONDS for _ in range(ROUNDS))
    print(f'of which the generator that stands for the engine: {alone[ROUNDS // 2]:.1f} us')


if __name__ == '__main__':
    main()
