"""Errors shared by several packages; each layer converts errors of lower layers to its own."""


class UserError(Exception):
    """An error whose message tells a person what is wrong and what to do.

    The two commands print the message without a traceback and exit with ``EXIT_USAGE``;
    the router returns it to an operator with status 400.
    """


class FleetError(Exception):
    """Base class of the errors that the code of the fleet handles."""


class StoreUnreachable(FleetError):
    """The configuration store was unreachable; the call took no effect."""


class StoreWriteUnconfirmed(FleetError):
    """A write was sent and its reply was lost; it may have taken effect.

    Resolve it by reading the key again and checking for the id in the write.
    """


class PeerUnreachable(FleetError):
    """The other instance could not be reached; it did not receive the call."""


class PeerNoReply(FleetError):
    """The call was sent and no reply arrived; it may have taken effect."""


class PeerRefused(FleetError):
    """The other instance replied that it doesn't accept this call."""


EXIT_USAGE = 2
"""Exit status of a command that was called incorrectly."""
EXIT_FAILED = 1
"""Exit status of a command whose work failed."""
EXIT_CONFLICT = 3
"""Exit status of a change that conflicted with another one."""
EXIT_UNKNOWN = 4
"""Exit status of a change whose outcome is unknown; repeat it with the same id."""
