"""Fleets, counters and distribution variants for tools/bench_config.py."""

import dataclasses
import functools
import hashlib
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.configuration import Account, BackendServer, Configuration, Model
from endivesaddle.fleet.distribution import DistributionSettings
from endivesaddle.fleet.distribution.relay import Relay
from endivesaddle.fleet.distribution.revision_state import RevisionState
from endivesaddle.stand_ins.memory_peers import Moment
from endivesaddle.wire import runs_pb2
from subjects.fleet_of_members import Fleet, LinkedStore, Node

_REPORT_S = 1.0
_KEY_DIGITS = 'sha256'


class Size(NamedTuple):
    """The size of a fleet: routers and sidecars for each data centre, and accounts."""

    name: str
    routers: tuple[int, ...]
    sidecars: tuple[int, ...]
    accounts: int


SIZES = (
    Size('30', (5, 5, 5), (5, 5, 5), 1000),
    Size('1210', (59, 59, 59, 59, 58, 58, 58), (115, 115, 114, 114, 114, 114, 114), 1000),
)


class Operators:
    """Writes changes of one account each, like ``endivesaddle apply``."""

    def __init__(self, fleet: Fleet, accounts: int) -> None:
        """Initialize at revision 0."""
        self._fleet = fleet
        self._accounts = {
            f'account-{number:05}': _account(f'account-{number:05}', 0)
            for number in range(accounts)
        }
        self._servers = {
            f'dc-{number % 7}/llm-{number}': BackendServer(
                f'dc-{number % 7}/llm-{number}',
                f'dc-{number % 7}',
                f'http://10.0.0.{number % 250}:8000',
                'engine',
                ('board',),
            )
            for number in range(min(accounts, 800))
        }
        self.accepted_unix_s: dict[int, float] = {}

    async def change(self) -> int:
        """Write one change and return its revision."""
        revision = len(self.accepted_unix_s) + 1
        name = f'account-{revision * 37 % len(self._accounts):05}'
        self._accounts[name] = _account(name, revision)
        configuration = Configuration(
            revision=revision,
            accounts=self._accounts,
            models={'board': Model('board')},
            servers=self._servers,
        )
        await self._fleet.accept(configuration)
        self.accepted_unix_s[revision] = self._fleet.clock.now_s()
        return revision


class Lags:
    """The delay from the acceptance of a revision until it is in force, for each process."""

    def __init__(self, fleet: Fleet, operators: Operators) -> None:
        """Initialize without measurements."""
        self._fleet = fleet
        self._operators = operators
        self._at: dict[str, int] = {}
        self.followed: set[str] = set()
        self.found_s: dict[int, dict[str, float]] = {}

    def note(self, name: str, configuration: Configuration) -> None:
        """Record that a revision and all lower ones came into force at a process."""
        now_unix_s = self._fleet.clock.now_s()
        for revision in range(self._at.get(name, 0) + 1, configuration.revision + 1):
            accepted_unix_s = self._operators.accepted_unix_s.get(revision, now_unix_s)
            self.found_s.setdefault(revision, {})[name] = now_unix_s - accepted_unix_s
        self._at[name] = configuration.revision

    def begin(self, name: str) -> None:
        """Measure a process from the next revision on."""
        self.followed.add(name)
        self._at[name] = len(self._operators.accepted_unix_s)

    def since(self, revision: int) -> list[float]:
        """Return the lags of this and all later revisions, sorted."""
        chosen = [lags.values() for found, lags in self.found_s.items() if found >= revision]
        return sorted(itertools.chain.from_iterable(chosen))

    def missing(self, names: set[str], revision: int) -> list[str]:
        """Return the processes that have not reached a revision."""
        return [name for name in names if self._at.get(name, 0) < revision]


@dataclasses.dataclass
class Traffic:
    """Bytes sent and received, and calls, for each address."""

    sent_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    received_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    calls: Counter[str] = dataclasses.field(default_factory=Counter)

    def total_bytes(self, address: str) -> int:
        """Return the bytes that one address sent and received."""
        return self.sent_bytes[address] + self.received_bytes[address]

    async def observe(self, moment: Moment) -> None:
        """Count one message; a reply is sent by the receiver of the call."""
        size = moment.message.ByteSize()
        ends = (moment.sender, moment.receiver)
        sender, receiver = ends if moment.phase == 'asked' else reversed(ends)
        self.sent_bytes[sender] += size
        self.received_bytes[receiver] += size
        if moment.phase == 'asked':
            self.calls[sender] += 1
            self.calls[receiver] += 1


def build_fleet(group: Any, size: Size) -> Fleet:
    """Start a fleet with membership and distribution, with changing load reports."""
    fleet = Fleet.over_stand_ins(group)
    names = [f'dc-{number}' for number in range(len(size.routers))]
    seeds = [f'{name}/r0' for name in names]
    for name, routers, sidecars in zip(names, size.routers, size.sidecars, strict=True):
        for number in range(routers):
            fleet.start(f'{name}/r{number}', 'router', seeds)
        for number in range(sidecars):
            group.start_soon(_report, fleet, fleet.start(f'{name}/s{number}', 'sidecar', seeds))
    return fleet


class Direct:
    """The alternative without relays: every process watches the store itself."""

    def __init__(self, fleet: Fleet, settings: DistributionSettings, reread: bool) -> None:
        """Initialize; with ``reread`` each process polls the head like the first relay."""
        self._fleet = fleet
        self._settings = settings
        self._rank = 0 if reread else 1
        self.revision_states: dict[str, RevisionState] = {}

    def start(self, group: Any, size: Size) -> None:
        """Start as many processes as a fleet of that size."""
        for number in range(sum(size.routers) + sum(size.sidecars)):
            name = f'process-{number}'
            revision_state = RevisionState(self._fleet.clock)
            store: Any = LinkedStore(self._fleet.store, name, self._fleet.faults)
            relay = Relay(self._settings, store, revision_state, self._fleet.clock)
            self.revision_states[name] = revision_state
            group.start_soon(relay.run, self._find_rank, _ignore)

    def follow(self, lags: Lags) -> None:
        """Record the lags of all processes."""
        for name, revision_state in self.revision_states.items():
            revision_state.listeners.append(functools.partial(lags.note, name))

    def _find_rank(self) -> int:
        return self._rank


def follow(fleet: Fleet, lags: Lags) -> None:
    """Record the lags of the instances that aren't measured yet."""
    for name in fleet.nodes.keys() - lags.followed:
        lags.begin(name)
        fleet.nodes[name].distribution.on_change(functools.partial(lags.note, name))


def data_centres(fleet: Fleet) -> list[str]:
    """Return the data centres of a fleet."""
    return sorted({node.identity.data_centre for node in fleet.nodes.values()})


def some_routers(fleet: Fleet) -> list[str]:
    """Return a running router of each data centre, as seeds."""
    return [
        next(name for name in fleet.nodes if name.startswith(f'{data_centre}/r'))
        for data_centre in data_centres(fleet)
    ]


def relays(fleet: Fleet, data_centre: str) -> list[str]:
    """Return the two relays of a data centre."""
    return next(
        node.membership.collectors()
        for node in fleet.nodes.values()
        if node.identity.role == 'router' and node.identity.data_centre == data_centre
    )


def percentile(found: list[float], part: float) -> float:
    """Return a percentile of sorted values."""
    return found[min(len(found) - 1, int(part * len(found)))]


def watching(fleet: Fleet) -> int:
    """Return the number of watches open at the store."""
    return len(fleet.faults.watching)


def shared_assemble() -> Callable[..., Any]:
    """Return a ``revisions.assemble`` that shares its last result between all processes.

    A thousand simulated processes would otherwise hold a thousand equal configurations.
    """
    cached: dict[bytes, Configuration] = {}
    assemble = revisions.assemble

    def shared(head: revisions.Head, found: Any) -> Configuration:
        key = revisions.encode_head(head)
        if key not in cached:
            cached.clear()
            cached[key] = assemble(head, found)
        return cached[key]

    return shared


def cpu_s() -> float:
    """Return the processor time of this process so far, in seconds."""
    return time.process_time()


def roles(fleet: Fleet) -> Iterator[tuple[str, list[str]]]:
    """Yield the addresses by role, with the two collectors of each data centre separate."""
    first = {name for node in fleet.nodes.values() for name in _collectors(node)}
    yield 'first two routers', [f'at:{name}' for name in sorted(first)]
    others = [name for name in fleet.nodes if '/r' in name and name not in first]
    yield 'other routers', [f'at:{name}' for name in others]
    yield 'sidecars', [f'at:{name}' for name in fleet.nodes if '/s' in name]


def _collectors(node: Node) -> list[str]:
    return node.membership.collectors() if node.identity.role == 'router' else []


def _account(name: str, number: int) -> Account:
    digest = hashlib.new(_KEY_DIGITS, f'{name}/{number}'.encode()).hexdigest()
    return Account(name, (digest,), 1_000_000)


async def _report(fleet: Fleet, node: Node) -> None:
    for number in itertools.count():
        node.membership.report(
            runs_pb2.Load(
                server=node.identity.server,
                at_unix_s=fleet.clock.now_s(),
                running=number % 16,
                waiting=number % 5,
                batch_tokens=1000 + number,
                seconds_per_token=0.021,
                cache_used_blocks=4000 + number,
                models=['board'],
            )
        )
        await anyio.sleep(_REPORT_S)


def _ignore() -> None:
    """Do nothing when a revision is adopted."""
