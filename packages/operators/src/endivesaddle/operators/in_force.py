"""Which revision of the configuration is in force at each instance."""

import functools
from collections.abc import Iterable

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.together import together
from endivesaddle.wire import rpcs
from endivesaddle.wire.members_pb2 import Member, PullRequest

NO_ANSWER = -1
_ANY_REVISION = 2**63
"""Higher than all: the reply then carries the revision and no parts."""


async def revisions_in_force(desk: Desk, roles: Iterable[str]) -> dict[str, int]:
    """Return the revision by instance, ``NO_ANSWER`` for those that could not be asked."""
    found = {desk.identity.instance: desk.view.configuration.revision}
    members = [member for role in roles for member in desk.view.members(role)]
    others = [member for member in members if member.address != desk.identity.address]
    await together(functools.partial(_ask, desk, member, found) for member in others)
    return found


async def _ask(desk: Desk, member: Member, found: dict[str, int]) -> None:
    deadline_unix_s = desk.clock.now_s() + desk.settings.peer_call_s
    message = PullRequest(have_revision=_ANY_REVISION)
    try:
        reply = await desk.ports.peers.call(member.address, rpcs.PULL, message, deadline_unix_s)
    except (PeerRefused, PeerNoReply, PeerUnreachable):
        found[member.instance] = NO_ANSWER
    else:
        found[member.instance] = reply.revision
