"""What a command works with at a router."""

from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView, Peers, Store
from endivesaddle.operators.audit import Audit
from endivesaddle.operators.budget_desk import BudgetDesk
from endivesaddle.operators.changes import Changes
from endivesaddle.operators.configuration_store import ConfigurationStore
from endivesaddle.operators.fences import Fences
from endivesaddle.operators.finder import Finder, Stored
from endivesaddle.operators.settings import OperatorSettings


class DeskPorts(NamedTuple):
    """What a desk needs from its router."""

    store: Store
    peers: Peers
    clock: Clock
    view: FleetView
    stored: Stored | None = None


class Desk:
    """Everything that commands work with, put together from a router's ports."""

    def __init__(self, settings: OperatorSettings, identity: Identity, ports: DeskPorts) -> None:
        """Put the parts together; nothing is read yet."""
        store, clock = ports.store, ports.clock
        self.settings = settings
        self.identity = identity
        self.ports = ports
        self.view = ports.view
        self.clock = clock
        self.budgets = BudgetDesk(store, clock)
        self.finder = Finder(settings, identity, clock, ports.view, ports.peers, ports.stored)
        self.audit = Audit(settings, store, clock)
        self.fences = Fences(store, clock, settings.store_retry_s)
        self.configurations = ConfigurationStore(
            settings, store, clock, lambda: ports.view.configuration
        )
        self.changes = Changes(clock, self.configurations, self.audit)

    def deadline_unix_s(self) -> float:
        """Return when a command that begins now is given up."""
        return self.clock.now_s() + self.settings.change_s
