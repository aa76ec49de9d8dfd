"""The dependencies shared by all parts that handle requests on one instance."""

from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Budgets
from endivesaddle.fleet.ports import FleetView, Peers
from endivesaddle.fleet.requests.settings import RequestSettings


class Context(NamedTuple):
    """The settings, identity and ports of one instance, and its view of the others."""

    settings: RequestSettings
    identity: Identity
    budgets: Budgets
    peers: Peers
    view: FleetView
    clock: Clock

    def now_s(self) -> float:
        """Return the current time in Unix seconds."""
        return self.clock.now_s()

    def other_data_centres(self) -> list[str]:
        """Return all data centres except that of this instance.

        These are all that the configuration names, visible or not, and any other in which a
        router was seen: a data centre left out would never be queried about a retry.
        """
        seen = {member.data_centre for member in self.view.members('router')}
        known = seen.union(self.view.configuration.data_centres)
        return sorted(known - {self.identity.data_centre})
