"""top-up: add tokens to the budget of a client account."""

import functools

from endivesaddle.fleet.budgets import top_ups
from endivesaddle.operators import arguments
from endivesaddle.operators.acts import act
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted, unknown
from endivesaddle.operators.words import Words

_MOST_TOKENS = 10**15


@command(
    'top-up',
    'Add tokens to the budget of a client account, once for each id.',
    'top-up atelier 500000 id:inv-311',
    arguments=(
        arguments.word('account', 'the client account', arguments.named),
        arguments.word('tokens', 'how many tokens', arguments.integer(1, _MOST_TOKENS)),
        arguments.field(
            'id', 'names the top-up; else the change id does', arguments.change_id, default=''
        ),
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Top up; the same id again is the same top-up, whoever sends it."""
    account = known(desk, words, 'account', 'accounts', 'client account')
    return await act(desk, words, f'budget/{account}', functools.partial(_top_up, desk, words))


async def _top_up(desk: Desk, words: Words, deadline_unix_s: float) -> Reply:
    account, tokens = words['account'], words['tokens']
    top_up_id = words['id'] or words.given.change_id
    outcome = await desk.budgets.top_up(account, tokens, top_up_id, deadline_unix_s)
    match outcome:
        case top_ups.Accepted(total_tokens):
            return _done(f'accepted: {account} +{tokens}', top_up_id, total_tokens)
        case top_ups.AlreadyApplied(total_tokens):
            return _done(f'accepted before: {account} +{tokens}', top_up_id, total_tokens)
        case top_ups.NotAccepted(reason):
            return not_accepted(reason)
    return unknown(outcome.reason, words.given.change_id)


def _done(message: str, top_up_id: str, total_tokens: int) -> Reply:
    heading = f'{message} tokens (top-up {top_up_id}); {total_tokens} paid in, in all'
    return Reply(messages=[heading], details={'total_tokens': total_tokens, 'id': top_up_id})
