"""Detection of sidecars that no longer answer."""

from endivesaddle.fleet.requests.calls import PlacedAttempt
from endivesaddle.fleet.requests.context import Context


class LossDetector:
    """Decides when a sidecar counts as lost: on a timeout, or once it has been restarted.

    The timeout is longer for a non-repeatable request, because only this sidecar can
    report the outcome of its run. It starts with the first failure after the last contact
    and not with that contact: a silent connection is noticed late, and there must be
    time left to try a new one.
    """

    def __init__(self, context: Context, may_repeat: bool) -> None:
        """Initialize with no failure seen."""
        settings = context.settings
        self._wait_s = settings.lost_after_s if may_repeat else settings.unknown_after_s
        self._context = context
        self._until_unix_s = 0.0

    def heard_from(self) -> None:
        """Reset the timeout after a message from the sidecar."""
        self._until_unix_s = 0

    def lost(self, placed: PlacedAttempt) -> bool:
        """Tell whether to give up on the sidecar, after a call to it failed."""
        if not self._until_unix_s:
            self._until_unix_s = self._context.now_s() + self._wait_s
        return self._context.now_s() >= self._until_unix_s or self._replaced(placed)

    def _replaced(self, placed: PlacedAttempt) -> bool:
        # A restarted sidecar has lost its runs, so there is nothing to wait for.
        for member in self._context.view.members('sidecar'):
            if member.address == placed.sidecar:
                return placed.incarnation not in {0, member.incarnation}
        return False
