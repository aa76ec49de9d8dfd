"""Choose an engine for a prompt, asking the sidecars beside the best ones what they know."""

from typing import Protocol

from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.placement_policies import (
    PlacementContext,
    PlacementPolicy,
    tolerated_tokens,
)

ASKS = 3
"""Sidecars asked for one prompt at most; each takes some 3 ms."""
ASKED_TOKENS = 1000
"""With fewer tokens to read a prompt goes by what the routers told each other last: it delays
others by less than asking costs."""
ANY_TOKENS = 1 << 40


class Admission(Protocol):
    """The sidecars beside engines, as a router reaches them."""

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Ask for a place for a prompt, and learn what the other routers have there.

        True where the prompt may go there, also where nobody could be asked.
        """

    def changed(self, backend: Backend, soon: bool) -> None:
        """Tell the sidecar beside an engine what is under way there now, ``soon`` or with the next
        word."""


class NoAdmission:
    """No sidecar stands beside any engine."""

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Take up any prompt."""
        return True

    def changed(self, backend: Backend, soon: bool) -> None:
        """Tell nobody."""


async def select_engine(
    context: PlacementContext, policy: PlacementPolicy, admission: Admission
) -> Backend:
    """Return the lane for a prompt.

    What a sidecar says changes its lane, so that the policy decides anew with the truth about
    the engines that it had preferred.
    """
    for asks_left in reversed(range(ASKS)):
        backend = policy(context)
        unread = backend.uncached_tokens(context.request, context.now_unix_s)
        if unread < ASKED_TOKENS:
            break
        most_tokens = tolerated_tokens(context, backend) if asks_left else ANY_TOKENS
        if await admission.admit(backend, unread, most_tokens):
            break
    return backend
