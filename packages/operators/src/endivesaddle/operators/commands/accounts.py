"""accounts: client accounts by a query."""

from endivesaddle.fleet.configuration import shard_of
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import ACCOUNT_FIELDS
from endivesaddle.operators.listing import listed
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words

_COLUMNS = ('account', 'budget_tokens', 'priority', 'shard', 'keys')


@command(
    'accounts',
    'List client accounts as declared; "account" tells their spending.',
    'accounts budget:1M.. -priority:1',
    fields=ACCOUNT_FIELDS,
)
async def run(desk: Desk, words: Words) -> Reply:
    """List from the configuration in force at this router."""
    rows = [
        {
            'account': account.name,
            'budget_tokens': account.budget_tokens,
            'priority': account.priority,
            'shard': shard_of(account.name),
            'keys': len(account.key_digests),
        }
        for account in desk.view.configuration.accounts.values()
    ]
    return listed(desk, words, ACCOUNT_FIELDS, _COLUMNS, rows)
