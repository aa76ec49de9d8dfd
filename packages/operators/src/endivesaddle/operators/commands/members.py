"""members: the instances of the fleet, as this router sees them."""

from typing import Any

from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import MEMBER_FIELDS
from endivesaddle.operators.listing import listed
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words
from endivesaddle.wire.members_pb2 import Member

_COLUMNS = (
    'instance', 'role', 'data_centre', 'region', 'state', 'leaving', 'address', 'server',
)  # fmt: skip


@command(
    'members',
    'List the instances of the fleet: live, suspect or leaving.',
    'members role:router data_centre:porto-a',
    fields=MEMBER_FIELDS,
)
async def run(desk: Desk, words: Words) -> Reply:
    """List routers, then sidecars."""
    members = [*desk.view.members('router'), *desk.view.members('sidecar')]
    rows = [_row(member, desk.view.leaving(member.instance)) for member in members]
    return listed(desk, words, MEMBER_FIELDS, _COLUMNS, rows)


def _row(member: Member, leaving: bool) -> dict[str, Any]:
    return {
        'instance': member.instance,
        'role': member.role,
        'data_centre': member.data_centre,
        'region': member.region,
        'state': member.state,
        'leaving': leaving,
        'address': member.address,
        'server': member.server,
        'incarnation': member.incarnation,
    }
