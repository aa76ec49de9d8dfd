"""What all parts of one instance's requests work with."""

from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Budgets
from endivesaddle.fleet.ports import FleetView, Peers
from endivesaddle.fleet.requests.settings import RequestSettings


class Context(NamedTuple):
    """One instance: its settings, name and place, and its view of the others."""

    settings: RequestSettings
    identity: Identity
    budgets: Budgets
    peers: Peers
    view: FleetView
    clock: Clock

    def now_s(self) -> float:
        """Return the time now, in Unix seconds."""
        return self.clock.now_s()

    def other_data_centres(self) -> list[str]:
        """Return all data centres but this instance's.

        Those that the configuration names, in view or not, and any other in which a
        router was seen: one that is left out would never be asked about a retry.
        """
        seen = {member.data_centre for member in self.view.members('router')}
        known = seen.union(self.view.configuration.data_centres)
        return sorted(known - {self.identity.data_centre})
