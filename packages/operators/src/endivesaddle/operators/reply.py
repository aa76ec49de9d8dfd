"""What a command answers: messages and a table for people, the same as JSON for programs."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, NamedTuple, TypedDict

from endivesaddle.fleet.errors import EXIT_CONFLICT, EXIT_FAILED, EXIT_UNKNOWN, EXIT_USAGE

EXIT_DONE = 0
_HTTP = MappingProxyType(
    {
        EXIT_DONE: HTTPStatus.OK,
        EXIT_FAILED: HTTPStatus.SERVICE_UNAVAILABLE,
        EXIT_USAGE: HTTPStatus.BAD_REQUEST,
        EXIT_CONFLICT: HTTPStatus.CONFLICT,
        EXIT_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


class ReplyBody(TypedDict):
    """A reply as JSON; ``status`` is the exit status of the command line."""

    status: int
    messages: list[str]
    columns: list[str]
    rows: list[dict[str, Any]]
    details: dict[str, Any]
    change_id: str


class Reply(NamedTuple):
    """A reply; ``columns`` chooses and orders what of ``rows`` people see.

    ``details`` holds what programs may want besides.  ``found`` is False where the
    command ran and what was asked for is not there.
    """

    messages: Sequence[str] = ()
    columns: Sequence[str] = ()
    rows: Sequence[Mapping[str, Any]] = ()
    details: Mapping[str, Any] = MappingProxyType({})
    status: int = EXIT_DONE
    change_id: str = ''
    found: bool = True

    @property
    def http_status(self) -> int:
        """Return the HTTP status that goes with it."""
        return _HTTP[self.status] if self.found else HTTPStatus.NOT_FOUND

    def body(self) -> ReplyBody:
        """Return the reply as a JSON object."""
        return ReplyBody(
            status=self.status,
            messages=list(self.messages),
            columns=list(self.columns),
            rows=[dict(row) for row in self.rows],
            details=dict(self.details),
            change_id=self.change_id,
        )


def absent(message: str) -> Reply:
    """Return the reply where what was asked for is not there."""
    return Reply(messages=[message], status=EXIT_FAILED, found=False)
