"""Proofs that an attempt of a forwarded request did not run, as the log shows them."""

from typing import Any, NamedTuple


class NotRunProof(NamedTuple):
    """What proved that one attempt did not run; ``status`` is 0 without a response.

    ``sending`` is its number among the attempts of the request, ``sent`` whether it was sent.
    """

    server: str
    sending: int
    sent: bool
    proof: str
    status: int = 0
    declined: bool = False
    sealed: bool = False

    def logged(self) -> dict[str, Any]:
        """Return the fields for the log."""
        return self._asdict()
