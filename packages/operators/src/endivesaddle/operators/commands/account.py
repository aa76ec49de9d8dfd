"""account: one client account, its budget and where its tokens are."""

from typing import Any

from endivesaddle.fleet.budgets.top_ups import Unknown
from endivesaddle.fleet.configuration import Account, shard_of
from endivesaddle.operators import arguments
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.names import known
from endivesaddle.operators.reply import EXIT_FAILED, Reply
from endivesaddle.operators.words import Words

_COLUMNS = ('what', 'tokens')


@command(
    'account',
    'Tell what a client account may spend, has spent, and where the rest is.',
    'account name:atelier',
    arguments=(
        arguments.word('place', 'the client account', arguments.named, default=''),
        arguments.field('name', 'the client account', arguments.named, default=''),
    ),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Read the account's budget from the store."""
    name = known(desk, words, 'place' if words['place'] else 'name', 'accounts', 'client account')
    account = desk.view.configuration.accounts[name]
    balance = await desk.budgets.balance(name, desk.deadline_unix_s())
    settings = _settings(account)
    if isinstance(balance, Unknown):
        message = f'its budget can not be read now: {balance.reason}'
        return Reply([settings, message], status=EXIT_FAILED, details={'account': name})
    tokens = balance._asdict()
    rows = [{'what': what.removesuffix('_tokens'), 'tokens': tokens[what]} for what in tokens]
    return Reply([settings], _COLUMNS, rows, _details(account, tokens))


def _settings(account: Account) -> str:
    keys = len(account.key_digests)
    declared = f'{account.budget_tokens} tokens declared'
    return f'{account.name}: {declared}, priority {account.priority}, {keys} keys'


def _details(account: Account, tokens: dict[str, Any]) -> dict[str, Any]:
    fields = account._asdict()
    fields.pop('key_digests')
    return {'account': {**fields, 'shard': shard_of(account.name)}, 'budget': tokens}
