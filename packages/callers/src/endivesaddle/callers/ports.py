"""The interfaces that the HTTP side needs from the rest of a router."""

from typing import Any, Protocol


class OperatorPort(Protocol):
    """The operators' command language over HTTP."""

    async def command(self, token: str, line: str, change_id: str) -> tuple[int, dict[str, Any]]:
        """Run one command and return an HTTP status and a JSON object."""


class StatePort(Protocol):
    """The state of a router."""

    def ready(self) -> tuple[bool, str]:
        """Return whether it can serve requests, and if not, the reason."""

    def leaving(self) -> bool:
        """Tell whether it is stopping."""

    def dump(self) -> dict[str, Any]:
        """Return its state as a JSON object."""

    def counters(self) -> dict[str, float]:
        """Return its counters and gauges, by metric name."""
