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


class AdmissionControl(Protocol):
    """Admission control by the sidecars beside engines, as a router calls it."""

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Ask the sidecar to admit a prompt, and apply its report of the other routers' load.

        Return True if the prompt may go to the engine, also if no sidecar could be asked.
        """

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Report this router's load on an engine to its sidecar, ``soon`` or with the next one."""


class NoAdmissionControl:
    """Admission control without sidecars."""

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Admit any prompt."""
        return True

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Report nothing."""


async def select_engine(
    context: PlacementContext, policy: PlacementPolicy, admission: AdmissionControl
) -> Backend:
    """Return the backend for a prompt.

    A sidecar's reply updates its backend, so that the policy decides again with the current load
    of the engines that it preferred.
    """
    for asks_left in reversed(range(MAX_ASKS)):
        backend = policy(context)
        uncached = context.uncached_tokens(backend)
        if uncached < MIN_ASKED_TOKENS:
            break
        most_tokens = tolerated_tokens(context, backend) if asks_left else ANY_TOKENS
        if await admission.admit(backend, uncached, most_tokens):
            break
    return backend
