"""The view of members and loads that a bench's routers share."""

from collections.abc import Sequence

from endivesaddle.fleet.configuration import BackendServer, Configuration
from endivesaddle.stand_ins.batching import EngineModel
from endivesaddle.stand_ins.batching_traces import Firm
from endivesaddle.wire import members_pb2, runs_pb2


class View:
    """The port ``FleetView``: members and loads as routers hear of them, late."""

    def __init__(self, firm: Firm, model: EngineModel, policy: str) -> None:
        """See all servers live and no load yet."""
        servers = {}
        self._members: dict[str, members_pb2.Member] = {}
        for number in range(firm.engines):
            name = f'engine-{number}'
            data_centre = firm.data_centres[number % len(firm.data_centres)]
            servers[name] = BackendServer(
                name, data_centre, '', 'engine', (firm.model,), slots=model.slots
            )
            self._members[name] = members_pb2.Member(
                instance=f'sidecar-{number}',
                role='sidecar',
                data_centre=data_centre,
                address=f'10.0.0.{number}:1',
                state='live',
                server=name,
            )
        self.configuration = Configuration(
            revision=1, servers=servers, policy={'routing.engine': policy}
        )
        self.left: set[str] = set()
        self._loads: dict[str, runs_pb2.Load] = {}

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the sidecars."""
        return list(self._members.values()) if role == 'sidecar' else []

    def leaving(self, instance: str) -> bool:
        """Tell whether word came that an instance leaves."""
        return instance in self.left

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the last load reports."""
        return self._loads

    def hear(self, load: runs_pb2.Load) -> None:
        """Take a load report."""
        self._loads[load.server] = load

    def mark(self, server: str, state: str) -> None:
        """Change a member's state; ``gone`` removes it."""
        member = self._members[server]
        if state == 'leaving':
            self.left.add(member.instance)
        elif state == 'gone':
            self._members.pop(server)
        else:
            member.state = state
