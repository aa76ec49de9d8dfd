"""Measure what a router and a sidecar add to an engine's answers, and what they can carry.

Run with ``tools/bench relay``; docs/BENCH.md has the figures.  The stand-ins, the
router, the sidecar and the callers are processes of their own.  The added latency is
taken from answers asked for in turn, directly and through the router, in one run.
"""

import multiprocessing
import sys
import time
from typing import NamedTuple

import anyio
import httpx
from fleet_processes import KEY, MODEL, Fleet, Process, Usage, open_fleet

PAIRS = 100
LATENCY_SPEED = ('50', '0.05', '0.01')
LATENCY_TOKENS = 50
SHORT_SPEED = ('1', '0', '0')
PACED_SPEED = ('200', '0.1', '0.027')
PACED_TOKENS = 200
LOAD_S = 15
CALLER_PROCESSES = 4
CALLERS_EACH = 16
STREAMS_EACH = 40
SIDECARS = 4
ENGINES = ('engine-1', 'engine-2')
IDLE_SETTLE_S = 10
IDLE_S = 30
BUDGET_TOKENS = 10**12
MS = 1000
MIB = 2**20
P95 = 0.95
CHAT = '/v1/chat/completions'


class Timing(NamedTuple):
    """Seconds to the first token of one answer, and between two tokens on average."""

    first_token_s: float
    token_s: float


class Load(NamedTuple):
    """What one caller process got done."""

    answers: int
    tokens: int
    refused: int


def body(max_tokens: int, stream: bool) -> dict[str, object]:
    """Return the body of a chat."""
    messages = [{'role': 'user', 'content': 'compose a board for the lobby of a hotel'}]
    return {'model': MODEL, 'messages': messages, 'max_tokens': max_tokens, 'stream': stream}


async def timed(client: httpx.AsyncClient, url: str) -> Timing:
    """Stream one answer."""
    began_s = time.perf_counter()
    first_s = 0.0
    last_s = 0.0
    async with client.stream('POST', url + CHAT, json=body(LATENCY_TOKENS, True)) as answer:
        answer.raise_for_status()
        async for data in answer.aiter_bytes():
            last_s = time.perf_counter()
            if not first_s and b'content' in data:
                first_s = last_s
    return Timing(first_s - began_s, (last_s - first_s) / (LATENCY_TOKENS - 1))


async def take_turns(urls: tuple[str, str]) -> tuple[list[Timing], list[Timing]]:
    """Ask directly and through the router in turn, after one answer each to warm up."""
    direct: list[Timing] = []
    routed: list[Timing] = []
    headers = {'authorization': f'Bearer {KEY}'}
    async with httpx.AsyncClient(headers=headers, timeout=60, trust_env=False) as client:
        for _ in range(PAIRS + 1):
            direct.append(await timed(client, urls[0]))
            routed.append(await timed(client, urls[1]))
    return direct[1:], routed[1:]


def percentile(figures: list[float], share: float) -> float:
    """Return a percentile."""
    return sorted(figures)[min(len(figures) - 1, int(len(figures) * share))]


def tell_latency(name: str, direct: list[float], routed: list[float]) -> None:
    """Print a latency both ways, and their ratio."""
    for label, share in (('median', 0.5), ('p95', P95)):
        one = percentile(direct, share) * MS
        other = percentile(routed, share) * MS
        added = other - one
        print(
            f'{name:<22} {label:<6} direct {one:8.3f} ms  through the router {other:8.3f} ms'
            f'  added {added:7.3f} ms  ratio {other / one:.3f}'
        )


def bench_latency() -> None:
    """Compare the two ways to the same engine."""
    with open_fleet(LATENCY_SPEED) as fleet:
        start_small(fleet)
        urls = (fleet.urls['engine-1'], fleet.routers[0].http_url)
        direct, routed = anyio.run(take_turns, urls)
    print(f'{PAIRS} streamed answers each way, in turn, {LATENCY_TOKENS} tokens each')
    tell_latency(
        'first token', *([timing.first_token_s for timing in way] for way in (direct, routed))
    )
    tell_latency(
        'between two tokens', *([timing.token_s for timing in way] for way in (direct, routed))
    )


def start_small(fleet: Fleet) -> None:
    """Start one router and a sidecar beside one engine."""
    fleet.add_router()
    fleet.add_sidecar('engine-1', 'engine-1')
    fleet.declare(BUDGET_TOKENS)


def start_wide(fleet: Fleet) -> None:
    """Start one router and sidecars enough to keep it busy, on two engines."""
    fleet.add_router()
    for number in range(SIDECARS):
        fleet.add_sidecar(f'server-{number}', ENGINES[number % len(ENGINES)])
    fleet.declare(BUDGET_TOKENS)


async def call_for(url: str, tokens: int, until_s: float) -> Load:
    """Ask one answer after the other, streamed where it has more than one token."""
    stream = tokens > 1
    answers = 0
    refused = 0
    headers = {'authorization': f'Bearer {KEY}'}
    async with httpx.AsyncClient(headers=headers, timeout=60, trust_env=False) as client:
        while time.time() < until_s:
            answer = await client.post(url + CHAT, json=body(tokens, stream))
            whole = answer.content.endswith(b'[DONE]\n\n') if stream else answer.is_success
            answers += whole
            refused += not whole
    return Load(answers, answers * tokens, refused)


async def call_side_by_side(url: str, tokens: int, callers_each: int, until_s: float) -> Load:
    """Run the callers of one process."""
    loads: list[Load] = []

    async def one() -> None:
        loads.append(await call_for(url, tokens, until_s))

    async with anyio.create_task_group() as group:
        for _ in range(callers_each):
            group.start_soon(one)
    return Load(*(sum(column) for column in zip(*loads, strict=True)))


def call(arguments: tuple[str, int, int, float]) -> Load:
    """Run one caller process."""
    return anyio.run(call_side_by_side, *arguments)


def bench_load(name: str, speed: tuple[str, ...], tokens: int, callers_each: int) -> None:
    """Drive one router with as much as its callers can ask for."""
    with open_fleet(speed) as fleet:
        start_wide(fleet)
        processes = [*fleet.routers, *fleet.sidecars, fleet.stand_ins]
        before = [process.usage() for process in processes]
        total = drive(fleet.routers[0].http_url, tokens, callers_each)
        after = [process.usage() for process in processes]
    passed_s = after[0].at_s - before[0].at_s
    print(
        f'{name}: {CALLER_PROCESSES * callers_each} callers, {passed_s:.0f} s:'
        f' {total.answers / passed_s:.0f} requests/s, {total.tokens / passed_s:.0f} tokens/s,'
        f' {total.refused} refused'
    )
    for process, start, end in zip(processes, before, after, strict=True):
        tell_usage(process, start, end, total)


def drive(url: str, tokens: int, callers_each: int) -> Load:
    """Run the caller processes and add up what they got done."""
    arguments = (url, tokens, callers_each, time.time() + LOAD_S)
    with multiprocessing.get_context('spawn').Pool(CALLER_PROCESSES) as pool:
        loads = pool.map(call, [arguments for _ in range(CALLER_PROCESSES)])
    return Load(*(sum(column) for column in zip(*loads, strict=True)))


def tell_usage(process: Process, before: Usage, after: Usage, done: Load) -> None:
    """Print what a process used for a load."""
    cpu_s = after.cpu_s - before.cpu_s
    passed_s = after.at_s - before.at_s
    share = f'{cpu_s / passed_s:.0%} of a core'
    queued = f'{(after.queued_s - before.queued_s) / passed_s:.0%} waiting for one'
    each = f'{cpu_s / max(done.answers, 1) * MS:.3f} ms a request'
    token = f'{cpu_s / max(done.tokens, 1) * MS * MS:.1f} us a token'
    rss = after.rss_bytes / MIB
    print(f'  {process.name:<18} {share}, {queued}; {each}, {token}; {rss:.1f} MiB resident')


def bench_idle() -> None:
    """Let two routers and two sidecars stand idle."""
    with open_fleet() as fleet:
        for server in ('engine-1', 'engine-2'):
            fleet.add_router()
            fleet.add_sidecar(server, server)
        fleet.declare(BUDGET_TOKENS)
        processes = [*fleet.routers, *fleet.sidecars]
        time.sleep(IDLE_SETTLE_S)
        before = [process.usage() for process in processes]
        time.sleep(IDLE_S)
        after = [process.usage() for process in processes]
    print(f'idle for {IDLE_S} s, two routers and two sidecars')
    for process, start, end in zip(processes, before, after, strict=True):
        share = (end.cpu_s - start.cpu_s) / (end.at_s - start.at_s)
        print(f'  {process.name:<18} {share:.2%} of a core, {end.rss_bytes / MIB:.1f} MiB resident')


def main(names: list[str]) -> None:
    """Run all parts, or those that are named."""
    parts = {
        'latency': bench_latency,
        'requests': lambda: bench_load('short answers', SHORT_SPEED, 1, CALLERS_EACH),
        'streams': lambda: bench_load('paced streams', PACED_SPEED, PACED_TOKENS, STREAMS_EACH),
        'idle': bench_idle,
    }
    for name in names or parts:
        parts[name]()


if __name__ == '__main__':
    main(sys.argv[1:])
