"""servers: backend servers, as declared and as they are."""

from typing import Any

from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import SERVER_FIELDS
from endivesaddle.operators.listing import listed
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words
from endivesaddle.wire.members_pb2 import Member
from endivesaddle.wire.runs_pb2 import Load

_COLUMNS = (
    'server', 'data_centre', 'kind', 'state', 'leaving', 'running', 'waiting', 'models', 'service',
)  # fmt: skip


@command(
    'servers',
    'List backend servers with their state and load.',
    'servers data_centre:porto-b -state:live',
    fields=SERVER_FIELDS,
)
async def run(desk: Desk, words: Words) -> Reply:
    """List from the configuration, the members and the load reports known here."""
    sidecars = {member.server: member for member in desk.view.members('sidecar')}
    loads = desk.view.loads()
    rows = [
        _row(server, sidecars.get(name, Member(state='unseen')), loads.get(name, Load()))
        for name, server in sorted(desk.view.configuration.servers.items())
    ]
    return listed(desk, words, SERVER_FIELDS, _COLUMNS, rows)


def _row(server: BackendServer, sidecar: Member, load: Load) -> dict[str, Any]:
    return {
        'server': server.name,
        'data_centre': server.data_centre,
        'kind': server.kind,
        'state': sidecar.state,
        'leaving': server.leaving or load.leaving,
        'running': load.running,
        'waiting': load.waiting,
        'models': list(server.models),
        'service': server.service,
        'sidecar': sidecar.address,
    }
