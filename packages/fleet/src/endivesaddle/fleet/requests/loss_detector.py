"""How long a sidecar that doesn't answer is waited for."""

from endivesaddle.fleet.requests.calls import PlacedAttempt
from endivesaddle.fleet.requests.context import Context


class LossDetector:
    """Decides when a sidecar counts as lost: by its absence, or by a stored deadline.

    Longer for a request that may not be repeated, whose run can only be heard of
    there.  The time starts with the first failure after a sign of life: a silent
    connection is noticed late, and a new one must still be tried.
    """

    def __init__(self, context: Context, may_repeat: bool) -> None:
        """Start with the sidecar alive."""
        settings = context.settings
        self._wait_s = settings.lost_after_s if may_repeat else settings.unknown_after_s
        self._context = context
        self._until_unix_s = 0.0

    def heard_from(self) -> None:
        """Take a sign of life."""
        self._until_unix_s = 0

    def lost(self, placed: PlacedAttempt) -> bool:
        """Tell whether to give the sidecar up, after a call to it failed."""
        if not self._until_unix_s:
            self._until_unix_s = self._context.now_s() + self._wait_s
        return self._context.now_s() >= self._until_unix_s or self._replaced(placed)

    def _replaced(self, placed: PlacedAttempt) -> bool:
        # A restarted sidecar has forgotten its runs; waiting for it is in vain.
        for member in self._context.view.members('sidecar'):
            if member.address == placed.sidecar:
                return placed.incarnation not in {0, member.incarnation}
        return False
