"""A router that has run long enough to have its share of the slack of retries."""

from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.slack_share import SlackShare

WINDOW_S = 10.0


class SettledSlack(SlackShare):
    """A share of the slack that is the same at any time."""

    def __init__(self, routers: int) -> None:
        """Share with ``routers``, this one among them."""
        super().__init__(WINDOW_S)
        self._routers = routers

    def routers(self, now_unix_s: float) -> int:
        """Return the number of routers."""
        return self._routers


def settle(dispatcher: Dispatcher, routers: int = 2) -> Dispatcher:
    """Give a router its share of the slack, without the time that this takes after a start."""
    dispatcher.retry_shares.slack = SettledSlack(routers)
    return dispatcher
