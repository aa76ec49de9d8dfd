"""What is asked of a change and what became of it."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.revisions import Change
from endivesaddle.operators.differences import Difference

ANY_REVISION = -1

Edit = Callable[[Configuration], Configuration]
"""Returns the changed configuration; raises ``UserError`` where it can't be."""


class Asked(NamedTuple):
    """A change that an operator asks for.

    ``base_revision`` is the one it was planned against, or ``ANY_REVISION`` for a
    command that says all it needs: that one only conflicts with a change of the
    same item at the same time.  ``content_digest`` tells a change that is sent
    again from another one under its id.
    """

    change_id: str
    who: str
    summary: str
    content_digest: str
    base_revision: int = ANY_REVISION


class Accepted(NamedTuple):
    """The change stands as ``revision``; ``repeated`` if it stood before."""

    revision: int
    repeated: bool
    found: Sequence[Difference] = ()


class ChangeConflict(NamedTuple):
    """The change lost; nothing of it stands.  ``other`` is the change that won."""

    reason: str
    other: Change | None = None


class NotAccepted(NamedTuple):
    """Nothing took effect, nor will it."""

    reason: str


class Unknown(NamedTuple):
    """It may or may not have taken effect: ask again with the same id."""

    reason: str


Outcome = Accepted | ChangeConflict | NotAccepted | Unknown
