"""Subject: what the instances of a fleet see of each other."""

from collections.abc import Iterable
from typing import Any

from loguru import logger

from endivesaddle.stand_ins.memory_peers import Fault
from endivesaddle.wire import members_pb2, rpcs
from subjects.fleet_of_members import Fleet, Node, Stage


class MembershipSubject:
    """A fleet whose members can be asked for the state of any instance."""

    def __init__(self) -> None:
        """Start without instances; keep the events that are logged."""
        self.stage = Stage()
        self.events: list[str] = []
        self.listed: dict[str, str] = {}
        self.last_sequences: dict[str, int] = {}
        self._sink = logger.add(self._note, level='DEBUG')

    @property
    def fleet(self) -> Fleet:
        """The instances."""
        return self.stage.fleet

    def start(self, data_centres: list[str], routers: int, sidecars: int) -> None:
        """Start the fleet and let it find itself."""
        self.fleet.instance_list = self._list
        self.stage.call(self.fleet.start_all, data_centres, routers, sidecars)
        self.stage.run_for(5)

    def close(self) -> None:
        """End the fleet."""
        logger.remove(self._sink)
        self.stage.close()

    def routers(self, data_centre: str = '') -> list[Node]:
        """Return the running routers, of one data centre or all."""
        return [
            node
            for node in self.fleet.nodes.values()
            if node.identity.role == 'router' and data_centre in {'', node.identity.data_centre}
        ]

    def seen(self, instance: str) -> dict[str, str]:
        """Return how each router sees an instance; absent is gone."""
        return {
            node.identity.instance: self._members(node).get(instance, 'gone')
            for node in self.routers()
            if node.identity.instance != instance
        }

    def all_see(self, instance: str, state: str, data_centre: str = '') -> bool:
        """Tell whether all routers, or those of a data centre, see an instance in one state."""
        states = {
            seen for name, seen in self.seen(instance).items() if name.startswith(data_centre)
        }
        return states == {state}

    def incarnations(self, instance: str) -> set[int]:
        """Return the incarnations of an instance that routers choose from."""
        known = [member for node in self.routers() for member in _chosen_from(node)]
        return {member.incarnation for member in known if member.instance == instance}

    def sequence(self, name: str) -> int:
        """Return, and keep, the number of the last beat of an instance."""
        self.last_sequences[name] = self.fleet.nodes[name].membership.dump()['sequence']
        return self.last_sequences[name]

    def missing(self) -> dict[str, list[str]]:
        """Return, by router, the running instances that it doesn't see live, and ghosts."""
        names = set(self.fleet.nodes)
        found = {node.identity.instance: self._live(node) ^ names for node in self.routers()}
        return {name: sorted(others) for name, others in found.items() if others}

    def views_of(self, watchers: list[str], instances: list[str]) -> list[dict[str, str]]:
        """Return how each router among the watchers sees some instances."""
        return [
            {name: self._members(self.fleet.nodes[watcher])[name] for name in instances}
            for watcher in watchers
            if self.fleet.nodes[watcher].identity.role == 'router'
        ]

    def all_live(self) -> bool:
        """Tell whether every router sees every running instance live, and no others."""
        names = set(self.fleet.nodes)
        return all(self._live(node) == names for node in self.routers())

    def choose(self, server: str) -> list[str]:
        """Return the routers that would still send work to a server."""
        return [node.identity.instance for node in self.routers() if node.view.sidecar_of(server)]

    def first(self, data_centre: str) -> str:
        """Return the first collector of a data centre."""
        return self.routers(data_centre)[0].membership.collectors()[0]

    def restart(self, name: str, incarnation: int) -> None:
        """Start an instance again under its name, after its end."""
        role = self.fleet.nodes[name].identity.role
        self.kill(name)
        seeds = [node.identity.instance for node in self.routers()]
        self.stage.call(self.fleet.start, name, role, seeds, incarnation)

    def kill(self, name: str) -> None:
        """End an instance without a word."""
        self.sequence(name)
        self.stage.call(self.fleet.kill, name)

    def leave(self, name: str) -> None:
        """Tell an instance to leave."""
        self.sequence(name)
        self.stage.do(self.fleet.nodes[name].membership.leave())

    def part(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Part two sets of instances, silently."""
        self.fleet.net.part(self.fleet.addresses(one), self.fleet.addresses(other))

    def of(self, data_centre: str) -> list[str]:
        """Return the instances of a data centre."""
        return [name for name in self.fleet.nodes if name.startswith(f'{data_centre}/')]

    def silence_link(self, name: str, other: str) -> None:
        """Let messages between two instances vanish, both ways."""
        self.part([name], [other])

    def duplicate_all(self) -> None:
        """Let every message between two instances arrive twice."""
        addresses = self.fleet.addresses(self.fleet.nodes)
        for one in addresses:
            for other in addresses - {one}:
                self.fleet.net.faults[one, other] = Fault.DUPLICATE

    def beats_to(self, name: str) -> str:
        """Return the name of the router that an instance beats to."""
        return self.fleet.nodes[name].membership.dump()['beats_to'].removeprefix('at:')

    def late_beat(self, name: str, incarnation: int, sequence: int, whole: bool = False) -> None:
        """Deliver a beat that was on its way for long, to all routers."""
        member = members_pb2.Member(instance=name, incarnation=incarnation, sequence=sequence)
        if whole:
            member.role = 'sidecar'
            member.data_centre = name.partition('/')[0]
            member.address = f'at:{name}'
            member.state = 'live'
        for node in self.routers():
            beat = self.fleet.net.nodes[node.identity.address].unary[rpcs.BEAT.path]
            self.stage.do(beat(members_pb2.BeatRequest(member=member)))

    def declare_gone(self, router: str, name: str) -> None:
        """Deliver the word that an instance is gone as of its last beat to one router."""
        identity = self.fleet.nodes[name].identity
        record = members_pb2.Member(
            instance=name,
            role=identity.role,
            data_centre=identity.data_centre,
            address=identity.address,
            incarnation=identity.incarnation,
            server=identity.server,
            state='gone',
            sequence=self.sequence(name),
        )
        push = self.fleet.net.nodes[f'at:{router}'].unary[rpcs.EXCHANGE.path]
        self.stage.do(push(members_pb2.ExchangeRequest(members=[record], address='at:lost')))

    def jump(self, name: str, seconds: float) -> None:
        """Move the clock of one instance, as it finds it after a pause."""
        self.fleet.nodes[name].clock.ahead_s += seconds

    def reports_at(self, name: str) -> dict[str, int]:
        """Return the running requests by server that a router knows."""
        reports = self.fleet.nodes[name].view.loads()
        return {server: load.running for server, load in reports.items()}

    def report(self, name: str, running: int) -> None:
        """Have a sidecar report its load."""
        node = self.fleet.nodes[name]
        node.membership.report(self.stage.call(self.fleet.load, node, running))

    async def _list(self) -> dict[str, str]:
        return self.listed

    def _members(self, node: Node) -> dict[str, str]:
        return node.membership.dump()['members']

    def _live(self, node: Node) -> set[str]:
        members = self._members(node)
        return {name for name, state in members.items() if state == 'live'}

    def _note(self, message: Any) -> None:
        self.events.append(message.record['extra']['name'])


def _chosen_from(node: Node) -> list[members_pb2.Member]:
    return [*node.view.members('router'), *node.view.members('sidecar')]
