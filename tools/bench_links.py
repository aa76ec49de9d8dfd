"""Measure the links between instances: processor time, bytes and memory over loopback.

Run with ``.venv/bin/python tools/bench_links.py``; docs/design/links.md quotes it.
The instance that answers is a process of its own, so that each end's processor time is
counted for itself; bytes are what TCP carried, by the kernel's count.
"""

import asyncio
import dataclasses
import multiprocessing
import pathlib
import resource
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import anyio
import msgspec
from loguru import logger

from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances import GrpcPeers, InstancesSettings, serve
from endivesaddle.wire import holders_pb2, members_pb2, rpcs, runs_pb2

CALLS = 3000
SIDE_BY_SIDE = 32
CHUNKS = 20000
CHUNK_BYTES = 256
CHANNELS = 100
QUIET_S = 20
ENOUGH_S = 60
MICROSECONDS = 1_000_000
TCP_INFO_BYTES = 232
BYTES_ACKED_AT = 120
CERTIFICATES = pathlib.Path(__file__).parent.parent / 'features' / 'certificates'
CLAIM = holders_pb2.ClaimRequest(
    request_key='atelier/4f0c7c64-6f9e-4a52-9c2b-0d6f2f0f7a11',
    account='atelier',
    digest='9f3c8a1b7d5e2f40',
    bound_tokens=2400,
    may_repeat=True,
    deadline_unix_s=1_800_000_000.25,
    router='10.20.0.11:7001',
    target='board-composer',
    revision=812,
    priority=1,
)
RECORD = holders_pb2.Record(
    request_key=CLAIM.request_key,
    account=CLAIM.account,
    digest=CLAIM.digest,
    shard=17,
    data_centre='porto-a',
    epoch=42,
    state='claimed',
    may_repeat=True,
    bound_tokens=2400,
    target='board-composer',
    claimed_unix_s=1_800_000_000.25,
    router='10.20.0.11:7001',
)
PLAIN = InstancesSettings(fleet_key='a shared secret of some length', link_message_bytes=2**20)
SECURE = dataclasses.replace(
    PLAIN,
    tls_certificate=str(CERTIFICATES / 'fleet.pem'),
    tls_key=str(CERTIFICATES / 'fleet.key'),
    tls_ca=str(CERTIFICATES / 'fleet-authority.pem'),
)


class Usage(NamedTuple):
    """What a process has used so far."""

    processor_s: float
    resident_bytes: int


class Cost(NamedTuple):
    """What some work cost at both ends; ``sent`` and ``received`` are the caller's."""

    took_s: float
    caller_s: float
    answerer_s: float
    sent_bytes: int
    received_bytes: int

    def line(self, what: str, count: int) -> str:
        """Return the cost of one of ``count``."""
        near_us = self.caller_s / count * MICROSECONDS
        far_us = self.answerer_s / count * MICROSECONDS
        return (
            f'{what:34} {count / self.took_s:8.0f} a second, {near_us:6.0f} us caller, '
            f'{far_us:6.0f} us answerer, {self.sent_bytes / count:6.1f} bytes sent, '
            f'{self.received_bytes / count:6.1f} received'
        )


def usage() -> Usage:
    """Return what this process has used."""
    resident_pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return Usage(time.process_time(), resident_pages * resource.getpagesize())


async def _claim(message: Any) -> holders_pb2.ClaimReply:
    return holders_pb2.ClaimReply(verdict='granted', not_run='true', record=RECORD)


async def _dump(message: Any) -> members_pb2.DumpReply:
    return members_pb2.DumpReply(json=msgspec.json.encode(usage()))


async def _follow(message: runs_pb2.FollowRequest) -> AsyncIterator[runs_pb2.Chunk]:
    data = b'x' * CHUNK_BYTES
    for number in range(message.attempt):
        yield runs_pb2.Chunk(
            request_key=message.request_key, attempt=1, offset_bytes=number, data=data
        )
    if not message.attempt:
        yield runs_pb2.Chunk(keep_alive=True)
        await anyio.sleep_forever()


def answer(settings: InstancesSettings, told: Any) -> None:
    """Be the instance that answers, until it is killed."""

    async def main() -> None:
        handlers = Handlers()
        handlers.answer(rpcs.CLAIM, _claim)
        handlers.answer(rpcs.DUMP, _dump)
        handlers.stream(rpcs.FOLLOW, _follow)
        async with serve(handlers, '127.0.0.1:0', settings) as address:
            told.send(address)
            await anyio.sleep_forever()

    logger.remove()
    anyio.run(main)


class Bench:
    """The caller, and the address of the instance that answers."""

    def __init__(self, address: str, settings: InstancesSettings) -> None:
        """Make no connection yet."""
        self._address = address
        self._settings = settings
        self._clock = WallClock()
        self._peers = GrpcPeers(settings, self._clock)

    async def run(self) -> None:
        """Measure everything."""
        await self._report('unary, one after the other', CALLS, self._calls(1))
        await self._report('unary, 32 side by side', CALLS, self._calls(SIDE_BY_SIDE))
        await self._report('chunk of 256 bytes, as fast as may be', CHUNKS, self._chunks)
        await self._channels()
        self._peers.close()

    async def _report(self, what: str, count: int, work: Callable[[], Awaitable[None]]) -> None:
        await work()
        cost = await self._cost(work)
        print(cost.line(what, count))

    async def _cost(self, work: Callable[[], Awaitable[None]]) -> Cost:
        far = await self._far()
        near, began_s, before = usage(), time.perf_counter(), _tcp_bytes()
        await work()
        took_s, after, used = time.perf_counter() - began_s, _tcp_bytes(), usage()
        far_used = await self._far()
        return Cost(
            took_s,
            used.processor_s - near.processor_s,
            far_used.processor_s - far.processor_s,
            after[0] - before[0],
            after[1] - before[1],
        )

    def _calls(self, workers: int) -> Callable[[], Awaitable[None]]:
        async def work() -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(workers):
                    tasks.start_soon(self._call_many, CALLS // workers)

        return work

    async def _call_many(self, count: int) -> None:
        for _ in range(count):
            deadline_unix_s = self._clock.now_s() + ENOUGH_S
            await self._peers.call(self._address, rpcs.CLAIM, CLAIM, deadline_unix_s)

    async def _chunks(self) -> None:
        message = runs_pb2.FollowRequest(request_key=CLAIM.request_key, attempt=CHUNKS)
        chunks = self._peers.follow(self._address, rpcs.FOLLOW, message, ENOUGH_S)
        got = [chunk.offset_bytes async for chunk in chunks]
        assert got[-1] == CHUNKS - 1

    async def _far(self) -> Usage:
        deadline_unix_s = self._clock.now_s() + ENOUGH_S
        reply = await self._peers.call(
            self._address, rpcs.DUMP, members_pb2.DumpRequest(), deadline_unix_s
        )
        return msgspec.json.decode(reply.json, type=Usage)

    async def _channels(self) -> None:
        near, far = usage(), await self._far()
        many = [GrpcPeers(self._settings, self._clock) for _ in range(CHANNELS)]
        for caller in many:
            deadline_unix_s = self._clock.now_s() + ENOUGH_S
            await caller.call(self._address, rpcs.CLAIM, CLAIM, deadline_unix_s)
        near_kb = (usage().resident_bytes - near.resident_bytes) / CHANNELS / 1024
        far_kb = ((await self._far()).resident_bytes - far.resident_bytes) / CHANNELS / 1024
        print(f'an open channel: {near_kb:.1f} KB caller, {far_kb:.1f} KB answerer')
        await self._quiet(f'{CHANNELS} idle links', many)
        streams = [self._quiet_stream(peers) for peers in many]
        for stream in streams:
            await anext(stream)
        await self._quiet(f'{CHANNELS} links with a quiet stream', many)
        for stream in streams:
            await stream.aclose()
        for caller in many:
            caller.close()

    def _quiet_stream(self, peers: GrpcPeers) -> Any:
        return peers.follow(self._address, rpcs.FOLLOW, runs_pb2.FollowRequest(), ENOUGH_S)

    async def _quiet(self, what: str, many: list[GrpcPeers]) -> None:
        cost = await self._cost(lambda: anyio.sleep(QUIET_S))
        link_bytes = (cost.sent_bytes + cost.received_bytes) / QUIET_S / len(many)
        print(
            f'{what}: {cost.caller_s / QUIET_S * 100:.2f}% of a core caller, '
            f'{cost.answerer_s / QUIET_S * 100:.2f}% answerer, '
            f'{link_bytes:.1f} bytes a second each, both ways'
        )


async def _bench(address: str, settings: InstancesSettings) -> None:
    await Bench(address, settings).run()


def _tcp_bytes() -> tuple[int, int]:
    """Return the bytes that all TCP connections of this process have sent and received."""
    loop: Any = asyncio.get_running_loop()
    sent, received = 0, 0
    for key in loop._selector.get_map().values():
        with socket.socket(fileno=key.fd) as link:
            if link.family == socket.AF_INET:
                info = link.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
                acked, got = struct.unpack_from('QQ', info, BYTES_ACKED_AT)
                sent += acked
                received += got
            link.detach()
    return sent, received


def main() -> None:
    """Measure without and with TLS."""
    logger.remove()
    spawn = multiprocessing.get_context('spawn')
    for what, settings in (('in clear', PLAIN), ('with mutual TLS', SECURE)):
        here, there = spawn.Pipe()
        process = spawn.Process(target=answer, args=(settings, there), daemon=True)
        process.start()
        print(f'-- {what}')
        anyio.run(_bench, here.recv(), settings)
        process.kill()
        process.join()


if __name__ == '__main__':
    main()
