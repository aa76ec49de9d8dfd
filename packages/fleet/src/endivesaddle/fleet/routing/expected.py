"""When a server's first token and the whole answer can be expected."""

from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.routing.servers import Server
from endivesaddle.fleet.routing.table import Group

SAME_DATA_CENTRE_S = 0.0002
OTHER_DATA_CENTRE_S = 0.001
OTHER_REGION_S = 0.05
"""There and back, from the distances that operators gave."""


class Expected:
    """Expectations from what is known of servers, seen from one router."""

    def __init__(self, identity: Identity) -> None:
        """Measure distances from this router."""
        self._identity = identity
        self.regions: dict[str, str] = {}

    def first_token_s(
        self, server: Server, routing_request: RoutingRequest, cached_share: float
    ) -> float:
        """Return seconds until the first token: the way, the wait for a slot, the prefill."""
        until_s = self.network_s(server.declared.data_centre) + server.wait_s()
        if routing_request.kind == 'service':
            return until_s + server.holding_s
        unread_tokens = server.prefilling_tokens + uncached_tokens(routing_request, cached_share)
        return until_s + unread_tokens * server.prefill_s_per_token

    def answer_s(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return seconds from the first token to the last."""
        return group.answer_s_per_max_token * routing_request.max_tokens

    def network_s(self, data_centre: str) -> float:
        """Return seconds to a data centre and back."""
        if data_centre == self._identity.data_centre:
            return SAME_DATA_CENTRE_S
        if self.regions.get(data_centre, self._identity.region) == self._identity.region:
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S


def uncached_tokens(routing_request: RoutingRequest, cached_share: float) -> float:
    """Return the prompt tokens that a server has to read; a call's cost is nothing to read."""
    return (
        0
        if routing_request.kind == 'service'
        else routing_request.prompt_tokens * (1 - cached_share)
    )
