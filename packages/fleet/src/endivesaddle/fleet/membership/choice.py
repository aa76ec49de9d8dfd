"""To which router an instance beats."""

from endivesaddle.fleet.membership import records, tree
from endivesaddle.fleet.membership.state import State

RETRY_S = 2.0


class Choice:
    """Order the routers for one instance; leave out those that failed lately."""

    def __init__(self, state: State) -> None:
        """Start with no failure known."""
        self._state = state
        self._failed_unix_s: dict[str, float] = {}

    def failed(self, address: str) -> None:
        """Note that a router did not answer."""
        self._failed_unix_s[address] = self._state.clock.now_s()

    def answered(self, address: str) -> None:
        """Note that a router answered."""
        self._failed_unix_s.pop(address, None)

    def failed_lately(self, address: str) -> bool:
        """Tell whether a router is not to be tried yet."""
        failed_unix_s = self._failed_unix_s.get(address)
        return failed_unix_s is not None and self._state.clock.now_s() < failed_unix_s + RETRY_S

    def candidates(self, own: str, crowded: bool) -> list[str]:
        """Return to whom to beat, the best first; ``own`` is the router it beats to now."""
        proper, others = self._above()
        usable = [address for address in proper if not self.failed_lately(address)]
        # A proper router that answers is kept: moving would send the views anew
        # whenever somebody joins.
        if own in usable and not crowded:
            usable.remove(own)
            usable.insert(0, own)
        usable += [address for address in others if not self.failed_lately(address)]
        return usable or proper[:1]

    def _above(self) -> tree.Candidates:
        state = self._state
        identity = state.identity
        order = state.order(identity.data_centre)
        if not state.is_router and not order:
            order = list(state.roster.members(records.ROUTER))
        addresses = {record.instance: record.address for record in order}
        if state.is_router:
            found = tree.above_router(list(addresses), identity.instance, state.settings.fan_out)
        else:
            found = tree.above_sidecar(list(addresses), identity.instance)
        proper, others = found
        return tree.Candidates(
            [addresses[name] for name in proper], [addresses[name] for name in others]
        )
