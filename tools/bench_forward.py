"""Measure the processor time of one forwarding router, a request and an event of a stream.

The router, the servers and the callers are processes of their own on loopback, the store is in
the router's memory.  ``tools/bench forward`` prints the figures; ``tools/bench forward profile
EVENTS`` prints where the router's time goes instead, by function.
"""

import asyncio
import cProfile
import pstats
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import msgspec
from processes_usage import cpu_s

from endivesaddle.daemon import logs
from endivesaddle.daemon.forward_parts import ForwardPorts
from endivesaddle.daemon.forwarder import Forwarder
from endivesaddle.daemon.forwarder_settings import ForwarderSettings, PlaceSettings
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteAccount,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.unread_names import UnreadNames
from endivesaddle.instances.settings import InstancesSettings
from endivesaddle.stand_ins.memory_store import MemoryStore

HTTP = '127.0.0.1:18227'
ENGINE_PORTS = (18301, 18302)
LIVES = 40
"""Servers that the router chooses among; they share the processes that stand for them."""
CALLERS = 30
REQUESTS = 1500
WARM_UP = 150
BODY = b'x' * 4000
EVENT = b'data: %s' % (b'x' * 50)
EVENT_GAP_S = 0.02
EVENTS = (1, 42)
STARTED_S = 2.0
LOOK_S = 0.5
SHOWN = 45
MS = 1000


class Figures(NamedTuple):
    """What a load took."""

    events: int
    cpu_ms: float
    first_s: Sequence[float]


class Documents:
    """The product's own types in JSON."""

    declared_key = 'declared'
    declared_prefix = 'declared'
    servers_prefix = 'servers/'
    unread = UnreadNames()

    def declared(self, stored: Stored) -> Declarations | None:
        """Return the declarations."""
        return msgspec.json.decode(stored.value or b'', type=Declarations)

    def evacuated(self, key: str) -> str:
        """Know of no evacuations."""
        return ''

    def server(self, stored: Stored, now_unix_s: float) -> RouteServer:
        """Return a server's entry."""
        return msgspec.json.decode(stored.value or b'', type=RouteServer)

    def lifetime(self, key: str) -> str:
        """Return the lifetime that a key names."""
        return key.removeprefix(self.servers_prefix)


def declared() -> Declarations:
    """Return one streaming route to engines, and an account with plenty."""
    route = Route(
        'boards', 'boards', '/b/', Repeat.STREAMED, 15000, 500, 1, (Target('engines', 1),)
    )
    account = RouteAccount('ateliers', ('key',), None, 10**10)
    return Declarations(1, (route,), (Service('engines', 500, 6, 700000),), (account,))


async def run_router() -> None:
    """Run a router that knows everything from its start on."""
    clock = MonotonicClock()
    store = MemoryStore(clock)
    store.put(Documents.declared_prefix, msgspec.json.encode(declared()))
    for number in range(LIVES):
        port = ENGINE_PORTS[number % len(ENGINE_PORTS)]
        server = RouteServer(f'life-{number}', 'engines', f'127.0.0.1:{port}', 'one', 24)
        store.put(f'{Documents.servers_prefix}{server.lifetime}', msgspec.json.encode(server))
    place = PlaceSettings(instance='router', lifetime='one', http_listen=HTTP)
    settings = ForwarderSettings(
        place,
        LogSettings(log_format='json'),
        links=InstancesSettings(link_in_the_open='yes'),
    )
    logs.set_up(settings.logs, place.instance)
    await Forwarder(settings, ForwardPorts(store, Documents(), HeaderNames())).run()


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection: a stream of as many events as the path names."""
    try:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
            named = dict(line.split(': ', 1) for line in head.split('\r\n')[1:] if line)
            await reader.readexactly(int(named.get('content-length', 0)))
            events = int(head.split()[1].rpartition('/')[2])
            writer.write(
                b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
                b'endivesaddle-seal: x\r\ntransfer-encoding: chunked\r\n'
                b'endivesaddle-request-id: %s\r\n\r\n' % named['endivesaddle-request-id'].encode()
            )
            for number in range(events):
                event = b'id: %d\n%s\n\n' % (number, EVENT)
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b'0\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def run_engine(port: int) -> None:
    """Stand for servers."""
    server = await asyncio.start_server(answer, '127.0.0.1', port)
    await server.serve_forever()


async def call(events: int, count: int) -> list[float]:
    """Send requests one after the other on one connection; return when each first event came."""
    host, _, port = HTTP.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    took_s = []
    for number in range(count):
        began_s = time.perf_counter()
        writer.write(
            b'POST /b/%d HTTP/1.1\r\nhost: boards\r\nauthorization: Bearer key\r\n'
            b'endivesaddle-request-id: %d\r\nendivesaddle-tokens: 900,80\r\n'
            b'endivesaddle-prompt-parts: a%d:500,b%d:300,c%d:100\r\n'
            b'endivesaddle-deadline-ms: 15000\r\ncontent-length: %d\r\n\r\n'
            % (events, id(reader) + number, number % 9, number % 40, number, len(BODY))
        )
        writer.write(BODY)
        head = await reader.readuntil(b'\r\n\r\n')
        if b' 200 ' not in head:
            raise ValueError(head.decode())
        await reader.readuntil(b'\n\n')
        took_s.append(time.perf_counter() - began_s)
        await reader.readuntil(b'\r\n0\r\n\r\n')
    writer.close()
    return took_s


async def load(events: int, requests: int) -> list[float]:
    """Have all callers share the requests."""
    each = [call(events, requests // CALLERS) for _ in range(CALLERS)]
    return [one for took_s in await asyncio.gather(*each) for one in took_s]


async def measure(pid: int, events: int) -> Figures:
    """Return what a load costs the router."""
    await load(events, WARM_UP)
    before_s = cpu_s(pid)
    first_s = await load(events, REQUESTS)
    return Figures(events, (cpu_s(pid) - before_s) * MS / REQUESTS, sorted(first_s))


async def compare(pid: int) -> None:
    """Print the figures, and what they say of a request and of an event."""
    await anyio.sleep(STARTED_S)
    found = [await measure(pid, events) for events in EVENTS]
    for one in found:
        middle_ms = one.first_s[len(one.first_s) // 2] * MS
        late_ms = one.first_s[len(one.first_s) * 95 // 100] * MS
        print(
            f'{one.events:3} events: {one.cpu_ms:.2f} ms of the router a request; '
            f'first event {middle_ms:.1f} ms, 95 in 100 within {late_ms:.1f} ms'
        )
    few, many = found
    event_ms = (many.cpu_ms - few.cpu_ms) / (many.events - few.events)
    print(f'a request {few.cpu_ms - few.events * event_ms:.2f} ms, an event {event_ms:.3f} ms')


def start(*words: str) -> subprocess.Popen[bytes]:
    """Start a process of this tool; its lines go nowhere."""
    return subprocess.Popen([sys.executable, __file__, *words], stdout=subprocess.DEVNULL)


def bench() -> None:
    """Start everything, measure, and end what was started."""
    running = [start('router'), *(start('engine', str(port)) for port in ENGINE_PORTS)]
    try:
        anyio.run(compare, running[0].pid)
    finally:
        end(running)


async def profile(events: int) -> None:
    """Run the router under the profiler in this process; print its functions by own time."""
    running = [start('engine', str(port)) for port in ENGINE_PORTS]
    running.append(start('load', str(events)))
    profiler = cProfile.Profile()
    router = asyncio.ensure_future(run_router())
    await anyio.sleep(STARTED_S)
    profiler.enable()
    while running[-1].poll() is None:
        await anyio.sleep(LOOK_S)
    profiler.disable()
    pstats.Stats(profiler, stream=sys.stderr).sort_stats('tottime').print_stats(SHOWN)
    end(running)
    router.cancel()


def end(running: Sequence[subprocess.Popen[bytes]]) -> None:
    """End what was started."""
    for process in running:
        process.kill()
        process.wait()


async def load_later(events: int) -> None:
    """Send the load once the router is there."""
    await anyio.sleep(STARTED_S)
    await load(events, REQUESTS)


def main(words: Sequence[str]) -> None:
    """Run the part that is named, all of it without a name."""
    parts = {'router': run_router, 'engine': run_engine, 'load': load_later, 'profile': profile}
    if words:
        anyio.run(parts[words[0]], *(int(word) for word in words[1:]))
    else:
        bench()


if __name__ == '__main__':
    main(sys.argv[1:])
