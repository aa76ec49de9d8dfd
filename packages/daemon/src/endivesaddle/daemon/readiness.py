"""When a router may be sent requests."""

from endivesaddle.fleet.budgets.holder import BudgetHolder
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import FleetView

BUDGETS_WITHIN_S = 30.0
"""How long a starting router is kept back for its budgets."""


class Readiness:
    """What a router lacks to serve requests, told by ``lacks``.

    It waits for its configuration, and after its start for the budgets of its shards.
    """

    def __init__(self, budgets: BudgetHolder, view: FleetView, clock: Clock) -> None:
        """Count from now."""
        self._budgets = budgets
        self._view = view
        self._clock = clock
        self._started_unix_s = clock.now_s()
        self._held = False

    def lacks(self) -> str:
        """Return what is missing in a few words, '' when nothing is."""
        if not self._view.configuration.revision:
            return 'no configuration yet'
        return '' if self._budgets_held() else 'the budgets of its shards are not held yet'

    def _budgets_held(self) -> bool:
        # Once only: a router that takes over the shards of a lost one serves all others,
        # and out of the balancer it would leave its load to the rest just then.
        if not self._held:
            self._held = self._budgets.ready() or self._late()
        return self._held

    def _late(self) -> bool:
        # Without the store no router that starts would ever be ready, while it can still
        # claim at the routers that hold the shards.
        return self._clock.now_s() - self._started_unix_s >= BUDGETS_WITHIN_S
