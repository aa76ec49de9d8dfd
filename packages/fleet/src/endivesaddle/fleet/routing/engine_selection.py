"""Select an engine for a prompt, with the current load from the sidecars of the best ones."""

from typing import Protocol

from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.placement_policies import (
    PlacementContext,
    PlacementPolicy,
    tolerated_tokens,
)

MAX_ASKS = 3
"""Maximum of sidecars asked per prompt; each call takes about 3 ms."""
MIN_ASKED_TOKENS = 1000
"""A prompt with fewer uncached tokens is placed by the last reports of the routers: it delays
others by less than a call costs."""
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
    """Return the backend for a prompt.

    A sidecar's reply updates its backend, so that the policy decides again with the current load
    of the engines that it preferred.
    """
    for asks_left in reversed(range(MAX_ASKS)):
        backend = policy(context)
        uncached = backend.uncached_tokens(context.request, context.now_unix_s)
        if uncached < MIN_ASKED_TOKENS:
            break
        most_tokens = tolerated_tokens(context, backend) if asks_left else ANY_TOKENS
        if await admission.admit(backend, uncached, most_tokens):
            break
    return backend
