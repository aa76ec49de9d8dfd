"""Subject: load reports, in one book and through a fleet."""

from typing import Any

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import BackendServer, Configuration
from endivesaddle.fleet.membership import MembershipSettings
from endivesaddle.fleet.membership.change_log import Version
from endivesaddle.fleet.membership.loads import LoadBook
from endivesaddle.stand_ins.memory_peers import Fault, Moment
from endivesaddle.wire import rpcs, runs_pb2
from subjects.fleet_of_members import Node, Stage

_START_UNIX_S = 1_700_000_000.0
_SERVER = 'porto-a/llm-0'


class ManualClock(Clock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        """Start."""
        self.unix_s = _START_UNIX_S

    def now_s(self) -> float:
        """Return the time that was set."""
        return self.unix_s


class LoadBookSubject:
    """One load book among many servers, and what it spread of one of them."""

    def __init__(self, servers: int, rate: float) -> None:
        """Start with a report of each server."""
        self.clock = ManualClock()
        settings = MembershipSettings(load_bytes_per_s=rate)
        self.book = LoadBook(settings, self.clock, Version('book'))
        self.spread: list[runs_pb2.Load] = []
        for number in range(servers):
            self.book.offer(self._load(f'porto-a/llm-{number}', ()), '')

    def offer_one_by_one(self, prefixes: list[int], seconds: int) -> None:
        """Offer a report each second, the first of them with one prefix each."""
        for second in range(seconds):
            self.clock.unix_s += 1
            self._offer(prefixes[second : second + 1])

    def offer_at_once(self, prefixes: list[int]) -> None:
        """Offer many prefixes in one report, and wait until it is spread."""
        self.clock.unix_s += 1
        self._offer(prefixes)
        self.offer_one_by_one([], 20)

    def told(self) -> set[int]:
        """Return the prefixes that were spread."""
        return {prefix for load in self.spread for prefix in load.cached_prefixes}

    def steps(self) -> list[int]:
        """Return by how much the count of cache changes grew with each spread report."""
        counts = [0, *(load.cache_event for load in self.spread)]
        return [after - before for before, after in zip(counts, counts[1:], strict=False)]

    def _offer(self, prefixes: list[int]) -> None:
        if self.book.offer(self._load(_SERVER, prefixes), ''):
            self.spread.append(self.book.all()[_SERVER])

    def _load(self, server: str, prefixes: Any) -> runs_pb2.Load:
        return runs_pb2.Load(server=server, at_unix_s=self.clock.unix_s, cached_prefixes=prefixes)


class LoadFleetSubject:
    """A fleet whose sidecars report, and what routers know."""

    def __init__(self, data_centres: list[str], routers: int, sidecars: int) -> None:
        """Start the fleet."""
        self.stage = Stage()
        self.fleet = self.stage.fleet
        self.known: dict[str, list[runs_pb2.Load]] = {}
        self.from_above_bytes: dict[str, int] = {}
        self.seconds = 0
        self.stage.call(self.fleet.start_all, data_centres, routers, sidecars)
        self.stage.run_for(5)

    def close(self) -> None:
        """End the fleet."""
        self.stage.close()

    def nodes(self, role: str, data_centre: str = '') -> list[Node]:
        """Return running instances of a role."""
        return [
            node
            for node in self.fleet.nodes.values()
            if node.identity.role == role and data_centre in {'', node.identity.data_centre}
        ]

    def report(self, node: Node, running: int, prefixes: tuple[int, ...] = ()) -> None:
        """Have a sidecar report."""
        load = self.fleet.load(node, running)
        load.cached_prefixes.extend(prefixes)
        node.membership.report(load)

    def lose_answers(self, prefix: int) -> None:
        """Have the sidecar report while no answer reaches it, then heal."""
        node = self.nodes('sidecar')[0]
        for router in self.nodes('router'):
            self.fleet.net.faults[router.identity.address, node.identity.address] = Fault.SILENT
        self.report(node, 1, (prefix,))
        self.stage.run_for(0.5)
        self.note_prefixes()

    def heal_and_report(self, prefix: int) -> None:
        """Report again with another prefix; answers arrive again."""
        self.report(self.nodes('sidecar')[0], 1, (prefix,))
        self.fleet.net.heal()
        for _ in range(40):
            self.stage.run_for(0.1)
            self.note_prefixes()

    def note_prefixes(self) -> None:
        """Keep the reports that routers have now."""
        for node in self.nodes('router'):
            self.known.setdefault(node.identity.instance, []).extend(node.view.loads().values())

    def prefixes(self) -> list[set[int]]:
        """Return the prefixes that each router was told of."""
        return [
            {prefix for load in loads for prefix in load.cached_prefixes}
            for loads in self.known.values()
        ]

    def declare(self) -> None:
        """Accept a configuration with all servers of the fleet."""
        servers = {
            node.identity.server: BackendServer(
                node.identity.server, node.identity.data_centre, 'http://127.0.0.1:1', 'engine'
            )
            for node in self.nodes('sidecar')
        }
        self.stage.do(self.fleet.accept(Configuration(revision=1, servers=servers)))
        self.stage.run_for(2)

    def running(self, seen_in: str, of: str) -> list[set[int]]:
        """Return the running requests that each router of one place knows of another's servers."""
        servers = [node.identity.server for node in self.nodes('sidecar', of)]
        found = [node.view.loads() for node in self.nodes('router', seen_in)]
        return [{loads[server].running for server in servers} for loads in found]

    def report_each_second(self, seconds: int) -> None:
        """Have all report each second; count what routers are sent from above."""
        self.seconds = seconds
        self.fleet.net.observers.append(self._count)
        for second in range(seconds):
            for node in self.nodes('sidecar'):
                self.report(node, second % 10)
            self.stage.run_for(1)
        self.fleet.net.observers.remove(self._count)

    def oldest_s(self) -> float:
        """Return the age of the oldest report at any router."""
        now_unix_s = self.fleet.clock.now_s()
        return max(
            now_unix_s - load.at_unix_s
            for node in self.nodes('router')
            for load in node.view.loads().values()
        )

    async def _count(self, moment: Moment) -> None:
        if moment.phase == 'answered' and moment.path == rpcs.BEAT.path:
            size = sum(load.ByteSize() + 2 for load in moment.message.loads)
            before = self.from_above_bytes.get(moment.sender, 0)
            self.from_above_bytes[moment.sender] = before + size
