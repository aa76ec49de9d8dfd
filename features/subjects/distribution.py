"""Subject: the revision of the configuration in force at each instance of a fleet."""

import functools

from endivesaddle.fleet import revisions
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.wire import members_pb2, rpcs
from subjects.fleet_of_members import Node
from subjects.membership import MembershipSubject


class DistributionSubject(MembershipSubject):
    """A fleet whose operators accept revisions in the store."""

    def __init__(self) -> None:
        """Initialize without instances."""
        super().__init__()
        self.accepted_unix_s = 0.0
        self.moves: dict[str, list[int]] = {}

    def start(self, data_centres: list[str], routers: int, sidecars: int) -> None:
        """Start the fleet and note the revisions that come into force."""
        super().start(data_centres, routers, sidecars)
        for name, node in self.fleet.nodes.items():
            node.distribution.on_change(functools.partial(self._note_revision, name))

    def accept(self, revision: int) -> None:
        """Write a revision to the store."""
        self.stage.do(self.fleet.apply(revision))
        self.accepted_unix_s = self.fleet.clock.now_s()

    def accept_many(self, first: int, count: int) -> None:
        """Write revisions one after the other without a pause."""
        for revision in range(first, first + count):
            self.accept(revision)

    def overwrite(self, revision: int, head_format: int = revisions.FORMAT) -> None:
        """Write a head with the parts in force, without an operator's change."""
        parts = self.any_node().distribution.dump()['parts']
        self.stage.do(self.fleet.write_head(revision, parts, head_format))

    def damage(self, revision: int) -> None:
        """Write a head that names a missing part."""
        self.stage.do(self.fleet.write_head(revision, {'models': 'f' * 32}))

    def any_node(self) -> Node:
        """Return one of the instances."""
        return next(iter(self.fleet.nodes.values()))

    def revisions(self) -> dict[str, int]:
        """Return the revision in force at each instance."""
        return {name: node.distribution.revision for name, node in self.fleet.nodes.items()}

    def in_force(self, revision: int) -> bool:
        """Return whether a revision is in force at all instances, with its content."""
        return all(self._has(node, revision) for node in self.fleet.nodes.values())

    def relays(self, data_centre: str) -> list[str]:
        """Return the two relays of a data centre."""
        return self.routers(data_centre)[0].membership.collectors()

    def cut_store(self, data_centre: str) -> None:
        """Disconnect all routers of a data centre from the store."""
        self.fleet.faults.cut.update(self.fleet.addresses(self.of(data_centre)))
        self.fleet.store.fail(self.fleet.store.down)

    def break_watches(self) -> None:
        """Have all current watches wait forever."""
        self.fleet.faults.deaf.update(self.fleet.addresses(self.fleet.nodes))

    def disconnect_from_peers(self, name: str) -> None:
        """Disconnect one instance from all others but not from the store."""
        self.part([name], set(self.fleet.nodes) - {name})

    def refuse_pushes(self, name: str) -> None:
        """Have an instance reject all pushes; its own calls still work."""
        self.fleet.net.nodes[f'at:{name}'].unary.pop(rpcs.PUSH.path)

    def late_push(self, name: str) -> int:
        """Push an old revision to an instance; return by how much its revision went back."""
        node = self.fleet.nodes[name]
        before = node.distribution.revision
        head = {**revisions.empty_head(), 'revision': 1}
        self._push(name, members_pb2.PushRequest(head=revisions.encode_head(head), revision=1))
        return before - node.distribution.revision

    def catch_up(self, name: str, other: str, revision: int) -> bool:
        """Have an instance catch up with another one; return whether it did."""
        node = self.fleet.nodes[name]
        return self.stage.do(node.distribution.catch_up(revision, f'at:{other}'))

    def push_garbage(self, name: str, revision: int) -> None:
        """Push data that can't be unpacked to an instance."""
        self._push(name, members_pb2.PushRequest(revision=revision, packed=b'garbage'))

    def _push(self, name: str, message: members_pb2.PushRequest) -> None:
        self.stage.do(self.fleet.net.nodes[f'at:{name}'].unary[rpcs.PUSH.path](message))

    def _note_revision(self, name: str, configuration: Configuration) -> None:
        self.moves.setdefault(name, []).append(configuration.revision)

    def _has(self, node: Node, revision: int) -> bool:
        if node.distribution.revision != revision:
            return False
        account = node.view.configuration.accounts.get(f'account-{revision}')
        return account is not None and account.budget_tokens == revision
