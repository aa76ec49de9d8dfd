"""The view that one instance has of the other instances and the configuration."""

from collections.abc import Sequence

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.distribution import Distribution
from endivesaddle.fleet.membership import Membership
from endivesaddle.fleet.membership.loads import mean_name
from endivesaddle.wire import members_pb2, runs_pb2


class View:
    """Implementation of ``FleetView`` by membership and distribution."""

    def __init__(self, membership: Membership, distribution: Distribution) -> None:
        """Initialize with the membership and the distribution of one instance."""
        self._membership = membership
        self._distribution = distribution

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this instance."""
        return self._distribution.configuration

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the live and suspect members of a role, in one data centre or in all."""
        return self._membership.members(role, data_centre)

    def leaving(self, instance: str) -> bool:
        """Return whether an instance announced that it is leaving, or has left or failed."""
        return self._membership.leaving(instance)

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the latest load report of each backend server by name.

        For a server in another, large data centre it is the mean over that data centre.
        """
        reports = self._membership.loads()
        for server in self.configuration.servers.values():
            mean = reports.get(mean_name(server.data_centre))
            if mean is not None:
                reports.setdefault(server.name, mean)
        return reports

    def sidecar_of(self, server: str) -> str:
        """Return the address of the sidecar of a backend server, or '' if unknown."""
        return self._membership.sidecar_of(server)
