"""dump: the state of one instance as JSON."""

import msgspec

from endivesaddle.fleet.decoding import UnreadableValue, decode_json
from endivesaddle.fleet.errors import EXIT_FAILED, PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.operators import arguments
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.nearest import near
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words
from endivesaddle.wire import rpcs
from endivesaddle.wire.members_pb2 import DumpRequest

_INDENT = 2


@command(
    'dump',
    'Show the state of one instance, asked for through this router.',
    'dump porto-a-router-1',
    arguments=(arguments.word('instance', 'the instance, see members', arguments.named),),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Ask the instance for its state."""
    members = [*desk.view.members('router'), *desk.view.members('sidecar')]
    addresses = {member.instance: member.address for member in members}
    name = words['instance']
    if name not in addresses:
        raise words.wrong('instance', f'no instance {name!r} is known', near(name, addresses))
    deadline_unix_s = desk.clock.now_s() + desk.settings.peer_call_s
    peers = desk.ports.peers
    try:
        reply = await peers.call(addresses[name], rpcs.DUMP, DumpRequest(), deadline_unix_s)
    except (PeerRefused, PeerNoReply, PeerUnreachable) as error:
        return Reply([f'{name} gave no state: {error}'], status=EXIT_FAILED)
    try:
        state = decode_json(reply.json)
    except UnreadableValue as error:
        return Reply([f'{name} gave a state that is not JSON: {error}'], status=EXIT_FAILED)
    text = msgspec.json.format(reply.json, indent=_INDENT).decode()
    return Reply(text.split('\n'), details={'state': state})
