"""Measure what routing costs by size: time of a decision and of a look, memory of each thing.

    tools/bench_slopes.py       prints tables for docs/CAPACITY.md, with the fitted lines

Times are processor time, the least of several rounds of ``timeit``; memory is what
``tracemalloc`` counts.
"""

import functools
import gc
import timeit
import tracemalloc
from collections.abc import Callable, Sequence
from random import Random
from statistics import correlation, linear_regression
from time import process_time
from typing import Any

from loguru import logger

from endivesaddle.fleet.configuration import Account, BackendServer, Configuration
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.routing import Admission, RoutingSettings
from endivesaddle.fleet.routing.placer import Placer
from endivesaddle.fleet.routing.prefixes import Prefixes
from endivesaddle.fleet.routing.queues import Queue, Waiting
from endivesaddle.fleet.routing.retries import Retries
from endivesaddle.wire import members_pb2, runs_pb2

SERVERS = (8, 80, 800)
BLOCKS = 24
DATA_CENTRES = 7
ROUNDS = 20
DECISIONS = 100
US = 1e6
LOOKS = 10
IDENTITY = Identity('router-0', 'router', 'dc-0', 'one', '', 1)
POLICIES = ('earliest_first_token', 'least_outstanding', 'round_robin', 'prefix_hash')


class SteppedClock:
    """A clock that the bench moves."""

    def __init__(self) -> None:
        """Start at some moment."""
        self.now_unix_s = 1.7e9

    def now_s(self) -> float:
        """Return the time now."""
        return self.now_unix_s


class SizedView:
    """The port ``FleetView`` with so many live engines, each with a load report."""

    def __init__(self, servers: int, policy: str) -> None:
        """Make members, declarations and reports."""
        names = [f'engine-{number}' for number in range(servers)]
        declared = {name: _declared(name, number) for number, name in enumerate(names)}
        accounts = {f'account-{number}': Account(f'account-{number}') for number in range(100)}
        self.configuration = Configuration(
            revision=1, servers=declared, accounts=accounts, policy={'routing.engine': policy}
        )
        self._members = [
            members_pb2.Member(instance=f's-{name}', server=name, address='::1', state='live')
            for name in names
        ]
        self._loads = {
            name: runs_pb2.Load(server=name, at_unix_s=1.7e9 - 1, running=number % 8)
            for number, name in enumerate(names)
        }

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the sidecars."""
        return list(self._members)

    def leaving(self, instance: str) -> bool:
        """Tell of nobody that it leaves."""
        return False

    def change(self) -> None:
        """Turn one member from live to suspect or back."""
        member = self._members[0]
        member.state = 'live' if member.state == 'suspect' else 'suspect'

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the load reports."""
        return dict(self._loads)


class Cycle:
    """Requests admitted, answered and ended, over and over, with prefixes of many projects."""

    def __init__(self, servers: int, policy: str) -> None:
        """Warm up with a few thousand requests."""
        self.clock = SteppedClock()
        settings = RoutingSettings()
        self.admission = Admission(settings, IDENTITY, SizedView(servers, policy), self.clock)
        self._routing_requests = [
            _routing_request(number, self.clock.now_s()) for number in range(DECISIONS)
        ]
        self._placed: list[tuple[Choice, RoutingRequest]] = []
        for _ in range(ROUNDS):
            self.admit()
            self.end()

    def admit(self) -> None:
        """Admit all requests; each is placed without waiting."""
        for routing_request in self._routing_requests:
            choice = _result(self.admission.admit(routing_request))
            self._placed.append((choice, routing_request))

    def end(self) -> None:
        """Have all of them answered."""
        for choice, routing_request in self._placed:
            self.admission.first_token(choice, routing_request)
        self.clock.now_unix_s += 0.05
        for choice, routing_request in self._placed:
            self.admission.ended(choice, routing_request, ok=True, used_tokens=100)
        self._placed.clear()


def decision_us(servers: int, policy: str) -> tuple[float, float]:
    """Return microseconds of one ``admit``, and of ``first_token`` with ``ended``."""
    cycle = Cycle(servers, policy)
    admits: list[float] = []
    ends: list[float] = []
    for _ in range(ROUNDS):
        admits.append(timeit.timeit(cycle.admit, number=1, timer=process_time) / DECISIONS * US)
        ends.append(timeit.timeit(cycle.end, number=1, timer=process_time) / DECISIONS * US)
    return min(admits), min(ends)


def look_us(servers: int, changing: bool) -> float:
    """Return microseconds of one look at members and reports, where one member changes or none."""
    clock = SteppedClock()
    view = SizedView(servers, POLICIES[0])
    placer = Placer(RoutingSettings(), IDENTITY, view, clock, Random(1))
    placer.table.refresh(clock.now_s())

    def look() -> None:
        clock.now_unix_s += 1
        if changing:
            view.change()
        placer.table.refresh(clock.now_s())

    return min(timeit.repeat(look, number=LOOKS, repeat=ROUNDS, timer=process_time)) / LOOKS * US


def memory_bytes(make: Callable[[int], Any], sizes: Sequence[int]) -> list[int]:
    """Return what is allocated for each size."""
    found = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        found.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return found


def fitted(name: str, unit: str, sizes: Sequence[int], found: Sequence[float]) -> str:
    """Return a row with the measured values and the fitted line."""
    line = linear_regression(sizes, found)
    measured = ', '.join(f'{size}: {value:.0f}' for size, value in zip(sizes, found, strict=True))
    fit = f'{line.intercept:.1f} + {line.slope:.4g} x size'
    return f'| {name} | {measured} | {fit} | {correlation(sizes, found) ** 2:.3f} | {unit} |'


def make_servers(size: int) -> Any:
    """Return a router's table of so many servers; the view is not counted."""
    clock = SteppedClock()
    placer = Placer(RoutingSettings(), IDENTITY, _view(size), clock, Random(1))
    placer.table.refresh(clock.now_s())
    return placer


def make_prefixes(size: int) -> Any:
    """Return beliefs about so many prefixes, each on one server."""
    prefixes = Prefixes(size)
    prefixes.confirm('engine-1', (1 << 60 | number for number in range(size)), 1.7e9)
    return prefixes


def make_retries(size: int) -> Any:
    """Return the retry budgets of so many accounts."""
    retries = Retries(RoutingSettings())
    for number in range(size):
        retries.succeeded(f'account-{number}')
    return retries


def make_waiting(size: int) -> Any:
    """Return a queue of so many requests; their wants and events are counted."""
    queue = Queue()
    for number in range(size):
        queue.push(Waiting(_routing_request(number, 1.7e9), frozenset(), 1.7e9))
    return queue


def make_outstanding(size: int) -> Any:
    """Return a router with so many requests under way; their wants are counted."""
    placer = make_servers(800)
    group = next(iter(placer.table.groups.values()))
    for number in range(size):
        routing_request = _routing_request(number, 1.7e9)._replace(prefix_hashes=())
        placer.send(group, routing_request, group.servers[number % len(group.servers)])
    return placer


def print_times() -> None:
    """Print the rows of decisions and looks."""
    for policy in POLICIES:
        timed = [decision_us(size, policy) for size in SERVERS]
        print(fitted(f'admit, {policy}', 'us by server', SERVERS, [each[0] for each in timed]))
        print(fitted(f'first token and end, {policy}', 'us', SERVERS, [each[1] for each in timed]))
    for name, changing in (('look, nothing new', False), ('look, one member changed', True)):
        looks = [look_us(size, changing) for size in SERVERS]
        print(fitted(name, 'us by server', SERVERS, looks))


def print_memory() -> None:
    """Print the rows of what is held; the views are made before and not counted."""
    for size in SERVERS:
        _view(size)
    makers = (
        ('server', make_servers, SERVERS),
        ('prefix', make_prefixes, (1000, 10000, 50000)),
        ('account with a retry budget', make_retries, (1000, 9100)),
        ('waiting request', make_waiting, (64, 512)),
        ('request under way', make_outstanding, (800, 8000)),
    )
    for name, make, sizes in makers:
        print(fitted(name, 'bytes each', sizes, memory_bytes(make, sizes)))


def main() -> None:
    """Print the tables."""
    logger.remove()
    head = '| what | measured at size: value | fit | R2 | unit |'
    rule = '|---' * (head.count('|') - 1)
    print(f'{head}\n{rule}|')
    print_times()
    print_memory()


@functools.cache
def _view(size: int) -> SizedView:
    return SizedView(size, POLICIES[0])


def _declared(name: str, number: int) -> BackendServer:
    return BackendServer(name, f'dc-{number % DATA_CENTRES}', '', 'engine', ('boards',), slots=24)


def _routing_request(number: int, now_unix_s: float) -> RoutingRequest:
    project = number % 50
    shared = [project * BLOCKS + block for block in range(BLOCKS - 4)]
    own = [1 << 40 | number * BLOCKS + block for block in range(4)]
    return RoutingRequest(
        request_key=f'account-{project}/{number}',
        account=f'account-{project}',
        kind='engine',
        model='boards',
        service='',
        # So few that the small fleet's engines never have too much to read.
        prompt_tokens=BLOCKS,
        max_tokens=128,
        priority=1,
        deadline_unix_s=now_unix_s + 1e6,
        data_centre='dc-0',
        prefix_hashes=tuple(shared + own),
    )


def _result(work: Any) -> Any:
    """Return what a coroutine returns that doesn't wait."""
    try:
        work.send(None)
    except StopIteration as ended:
        return ended.value
    raise RuntimeError('the request had to wait')


if __name__ == '__main__':
    main()
