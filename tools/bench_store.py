"""Measure the store's adapter: processor time and bytes for each call, over loopback.

Run with ``.venv/bin/python tools/bench_store.py``; docs/design/platform.md quotes it.
The gateway stand-in is a process of its own; only the adapter's side is counted.
"""

import asyncio
import multiprocessing
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from loguru import logger

from endivesaddle.fleet.clock import WallClock
from endivesaddle.platform import PlatformSettings, open_store
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore

CALLS = 500
KEYS = 64
VALUE = b'v' * 1000
LARGE_VALUE = b'v' * 1_000_000
ENOUGH_S = 600
UNBOUND_PER_S = 10000
MICROSECONDS = 1_000_000
TCP_INFO_BYTES = 232
BYTES_ACKED_AT = 120


def serve(told: Any) -> None:
    """Be the store, until killed."""

    async def main() -> None:
        clock = WallClock()
        async with serve_asgi(EtcdGateway(MemoryStore(clock), clock)) as url:
            told.send(url)
            await anyio.sleep_forever()

    logger.remove()
    anyio.run(main)


async def report(what: str, count: int, work: Callable[[], Awaitable[Any]]) -> None:
    """Print what one call costs the adapter."""
    await work()
    before, began_s, used_s = tcp_bytes(), time.perf_counter(), time.process_time()
    for _ in range(count):
        await work()
    used_us = (time.process_time() - used_s) / count * MICROSECONDS
    took_ms = (time.perf_counter() - began_s) / count * 1000
    carried = (tcp_bytes() - before) / count
    print(f'{what:24} {used_us:7.0f} us, {took_ms:6.2f} ms, {carried:9.0f} bytes both ways')


def tcp_bytes() -> int:
    """Return the bytes that all TCP connections of this process have carried."""
    loop: Any = asyncio.get_running_loop()
    carried = 0
    for descriptor in tuple(loop._transports):
        with socket.socket(fileno=descriptor) as link:
            if link.family == socket.AF_INET:
                info = link.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
                carried += sum(struct.unpack_from('QQ', info, BYTES_ACKED_AT))
            link.detach()
    return carried


async def measure(url: str) -> None:
    """Measure each kind of call."""
    clock = WallClock()
    settings = PlatformSettings(store_urls=(f'etcd+{url}',))
    async with open_store(settings, clock) as store:
        store.rate.limit(UNBOUND_PER_S, UNBOUND_PER_S, 0)
        deadline_unix_s = clock.now_s() + ENOUGH_S
        versions = {'a': 0, 'large': 0}

        async def swap(key: str, raw: bytes) -> None:
            stored = await store.swap(key, raw, versions[key], deadline_unix_s)
            versions[key] = stored.version

        for number in range(KEYS):
            await store.swap(f'page/{number:03}', VALUE, 0, deadline_unix_s)
        await report('swap of 1 KB', CALLS, lambda: swap('a', VALUE))
        await report('read of 1 KB', CALLS, lambda: store.read('a', deadline_unix_s))
        await report('list of 64 keys of 1 KB', CALLS, lambda: store.list('page/', deadline_unix_s))
        await report('swap of 1 MB', 10, lambda: swap('large', LARGE_VALUE))
        await report('read of 1 MB', 10, lambda: store.read('large', deadline_unix_s))


def main() -> None:
    """Serve in one process and measure in this one."""
    logger.remove()
    spawn = multiprocessing.get_context('spawn')
    here, there = spawn.Pipe()
    process = spawn.Process(target=serve, args=(there,), daemon=True)
    process.start()
    anyio.run(measure, here.recv())
    process.kill()
    process.join()


if __name__ == '__main__':
    main()
