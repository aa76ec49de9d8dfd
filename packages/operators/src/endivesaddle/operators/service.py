"""The operators' side of a router: checks the token, runs the line, answers as JSON."""

from http import HTTPStatus
from typing import Any

from endivesaddle.fleet.errors import EXIT_USAGE, UserError
from endivesaddle.fleet.sentinels import Absent
from endivesaddle.operators import access, events
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.execution import Forbidden, execute
from endivesaddle.operators.reply import Reply


class OperatorService:
    """What the HTTP side hands operators' commands to."""

    def __init__(self, desk: Desk) -> None:
        """Run commands with ``desk``."""
        self._desk = desk

    async def command(self, token: str, line: str, change_id: str) -> tuple[int, dict[str, Any]]:
        """Run one command; return an HTTP status and a JSON object.

        The object is ``reply.ReplyBody``, or ``{"error": ...}`` for a wrong token.
        """
        person = access.person(
            token, self._desk.view.configuration, self._desk.settings.bootstrap_token
        )
        if isinstance(person, Absent):
            events.ACCESS_REFUSED.log(reason=person.reason)
            return HTTPStatus.UNAUTHORIZED, {'error': person.reason}
        try:
            reply = await execute(self._desk, line, person, change_id)
        except Forbidden as error:
            events.ACCESS_REFUSED.log(operator=person.name, reason=str(error))
            return HTTPStatus.FORBIDDEN, dict(_mistaken(error).body())
        except UserError as error:
            reply = _mistaken(error)
        if reply.change_id:
            events.COMMAND_RUN.log(
                operator=person.name, change_id=reply.change_id, status=reply.status
            )
        return reply.http_status, dict(reply.body())


def _mistaken(error: UserError) -> Reply:
    return Reply(messages=str(error).split('\n'), status=EXIT_USAGE)
