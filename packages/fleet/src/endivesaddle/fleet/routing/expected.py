"""Expected times of the first token and of the whole response."""

from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.routing.servers import Server
from endivesaddle.fleet.routing.table import Group

SAME_DATA_CENTRE_S = 0.0002
OTHER_DATA_CENTRE_S = 0.001
OTHER_REGION_S = 0.05
"""Network round trips, from the distances that operators gave."""


class Expected:
    """Estimates for servers as seen from one router."""

    def __init__(self, identity: Identity) -> None:
        """Use distances from this router."""
        self._identity = identity
        self.regions: dict[str, str] = {}

    def first_token_s(
        self, server: Server, routing_request: RoutingRequest, cached_share: float
    ) -> float:
        """Return the seconds until the first token: network, wait for a slot and prefill."""
        until_s = self.network_s(server.declared.data_centre) + server.wait_s()
        if routing_request.kind == 'service':
            return until_s + server.holding_s
        unread_tokens = server.prefilling_tokens + uncached_tokens(routing_request, cached_share)
        return until_s + unread_tokens * server.prefill_s_per_token

    def answer_s(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return the seconds from the first token to the last."""
        return group.answer_s_per_max_token * routing_request.max_tokens

    def network_s(self, data_centre: str) -> float:
        """Return the network round trip to a data centre in seconds."""
        if data_centre == self._identity.data_centre:
            return SAME_DATA_CENTRE_S
        if self.regions.get(data_centre, self._identity.region) == self._identity.region:
            return OTHER_DATA_CENTRE_S
        return OTHER_REGION_S


def uncached_tokens(routing_request: RoutingRequest, cached_share: float) -> float:
    """Return the prompt tokens to process; the token cost of a service call has no prefill."""
    return (
        0
        if routing_request.kind == 'service'
        else routing_request.prompt_tokens * (1 - cached_share)
    )
