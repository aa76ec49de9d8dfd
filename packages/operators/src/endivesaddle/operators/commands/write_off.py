"""write-off: release what a lost holder left stranded, on an operator's word."""

import functools

from endivesaddle.fleet.budgets import top_ups
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.operators import arguments
from endivesaddle.operators.acts import act
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted, unknown
from endivesaddle.operators.words import Words

_MOST = 10**15


@command(
    'write-off',
    'Count tokens of a lost holder as spent and free the rest of what it left stranded.',
    'write-off atelier 1200 data_centre:porto-a epoch:3',
    arguments=(
        arguments.word('account', 'the client account', arguments.named),
        arguments.word('tokens', 'how many of them were spent', arguments.integer(0, _MOST)),
        arguments.field('data_centre', 'data centre of the lost holder', arguments.named),
        arguments.field('epoch', 'its epoch, as event 1007 tells', arguments.integer(1, _MOST)),
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Write off; sent again it finds nothing stranded any more, and says so."""
    account = known(desk, words, 'account', 'accounts', 'client account')
    return await act(desk, words, f'budget/{account}', functools.partial(_write_off, desk, words))


async def _write_off(desk: Desk, words: Words, deadline_unix_s: float) -> Reply:
    account, tokens = words['account'], words['tokens']
    holder_epoch = HolderEpoch(words['data_centre'], words['epoch'])
    outcome = await desk.budgets.write_off(account, holder_epoch, tokens, deadline_unix_s)
    match outcome:
        case top_ups.Accepted(total_tokens):
            heading = f'accepted: {account}, {tokens} tokens of {holder_epoch.data_centre} spent'
            return Reply(messages=[heading], details={'total_tokens': total_tokens})
        case top_ups.NotAccepted(reason):
            return not_accepted(reason)
    return unknown(outcome.reason, words.given.change_id)
