"""order: have an engine load or unload a model, or change its role."""

import functools

from endivesaddle.fleet.errors import EXIT_CONFLICT, PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.operators import arguments
from endivesaddle.operators.acts import act
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fences import Fence
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted, unknown
from endivesaddle.operators.words import Words
from endivesaddle.wire import rpcs
from endivesaddle.wire.runs_pb2 import OrderReply, OrderRequest

_ROLE = 'role'
_OLD_FENCE = 'old_fence'
_MAY_HAVE_RUN = ('unknown', 'store_unreachable')
_KINDS = ('load', 'unload', _ROLE)


@command(
    'order',
    'Have the engine of a backend server load or unload a model, or take a role.',
    'order server:porto-b/llm-3 load model:board version:7',
    arguments=(
        arguments.word('kind', 'load, unload or role', arguments.one_of(*_KINDS), choices=_KINDS),
        arguments.field('server', 'the backend server', arguments.named),
        arguments.field('model', 'the model, for load and unload', arguments.named, default=''),
        arguments.field('version', 'its version', arguments.named, default=''),
        arguments.field('adapter', 'an adapter to it', arguments.named, default=''),
        arguments.field(_ROLE, 'the role, for role', arguments.named, default=''),
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Give the order through the sidecar, with a fencing number from the store."""
    server = known(desk, words, 'server', 'servers', 'backend server')
    argument = _argument(words)
    sidecars = {member.server: member.address for member in desk.view.members('sidecar')}
    if server not in sidecars:
        return not_accepted(f'no sidecar beside {server} is live')
    give = functools.partial(_give, desk, words, sidecars[server], argument)
    return await act(desk, words, f'engine/{server}', give)


def _argument(words: Words) -> str:
    """Return what an order names: role, or model[@version][+adapter]."""
    needed = _ROLE if words['kind'] == _ROLE else 'model'
    if not words[needed]:
        raise words.wrong('kind', f'{words["kind"]} needs {needed}:', (f'{needed}:',))
    if needed == _ROLE:
        return str(words[_ROLE])
    version = f'@{words["version"]}' if words['version'] else ''
    adapter = f'+{words["adapter"]}' if words['adapter'] else ''
    return f'{words["model"]}{version}{adapter}'


async def _give(
    desk: Desk, words: Words, address: str, argument: str, deadline_unix_s: float
) -> Reply:
    order_id = words.given.change_id
    fence = await desk.fences.of(words['server'], order_id, deadline_unix_s)
    message = OrderRequest(
        order_id=order_id,
        fence=fence.number,
        kind=words['kind'],
        argument=argument,
        deadline_unix_s=deadline_unix_s,
    )
    try:
        reply = await desk.ports.peers.call(address, rpcs.ORDER, message, deadline_unix_s)
    except (PeerRefused, PeerUnreachable) as error:
        return not_accepted(str(error))
    except PeerNoReply as error:
        return unknown(str(error), order_id)
    if reply.highest_fence > fence.number:
        await desk.fences.raise_to(words['server'], reply.highest_fence, deadline_unix_s)
    return _told(reply, message, fence)


def _told(reply: OrderReply, message: OrderRequest, fence: Fence) -> Reply:
    told = f'{message.kind} {message.argument} (fence {message.fence})'
    if reply.done:
        return Reply([f'done: {told}'], details={'fence': message.fence})
    reason = f'{told}: {reply.code}: {reply.reason}'
    if reply.code in _MAY_HAVE_RUN:
        return unknown(reason, message.order_id)
    if reply.code == _OLD_FENCE:
        before = 'whether this one ran before it is not known' if fence.repeated else 'this did not'
        return Reply([f'conflict, a newer order stands, {before}: {reason}'], status=EXIT_CONFLICT)
    return not_accepted(reason)
