"""apply: bring a file of declarations into force."""

from endivesaddle.fleet.errors import EXIT_FAILED, EXIT_UNKNOWN, StoreUnreachable
from endivesaddle.operators import arguments
from endivesaddle.operators.applying import (
    carried_over,
    changed_budgets,
    lowered,
    settle_budgets,
)
from endivesaddle.operators.command import command
from endivesaddle.operators.commands.plan import FILE
from endivesaddle.operators.declarations import read_travelled
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.editing import asked
from endivesaddle.operators.outcomes import Accepted, NotAccepted
from endivesaddle.operators.reply import EXIT_DONE, Reply
from endivesaddle.operators.results import not_accepted, reply_to
from endivesaddle.operators.words import Words

_MOST_REVISION = 10**12


@command(
    'apply',
    'Bring a file of declarations into force, against the revision that it was planned for.',
    'apply azulejo.toml base:41',
    arguments=(
        arguments.field(
            'base', 'the revision that "plan" told', arguments.integer(0, _MOST_REVISION)
        ),
        FILE,
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Check lowered budgets, change the configuration, then write declared budgets."""
    wanted = await read_travelled(words.given.document, words['file'])
    deadline_unix_s = desk.clock.now_s() + desk.settings.apply_s
    loaded = await desk.configurations.current(deadline_unix_s)
    if isinstance(loaded, NotAccepted):
        return not_accepted(loaded.reason)
    low = lowered(loaded.configuration, wanted)
    short = await desk.budgets.shortfalls(low, deadline_unix_s)
    if short:
        lines = [f'account {name} can not be lowered: {short[name]}' for name in sorted(short)]
        return Reply(['not accepted, nothing changed:', *lines], status=EXIT_FAILED)
    outcome = await desk.changes.change(
        asked(words, words['base']),
        lambda current: carried_over(wanted, current),
        deadline_unix_s,
    )
    reply = reply_to(outcome, words.given.change_id)
    if not isinstance(outcome, Accepted):
        return reply
    amounts = changed_budgets(outcome.found, wanted)
    if outcome.repeated:
        # Which budgets an earlier try has written is not known: look at all of them.
        amounts = {account.name: account.budget_tokens for account in wanted.accounts.values()}
    return _joined(reply, await _settle(desk, amounts, deadline_unix_s))


async def _settle(desk: Desk, amounts: dict[str, int], deadline_unix_s: float) -> Reply:
    try:
        return await settle_budgets(desk, amounts, deadline_unix_s)
    except StoreUnreachable as error:
        message = f'accepted, but budgets may not be written: send the change again: {error}'
        return Reply([message], status=EXIT_UNKNOWN)


def _joined(reply: Reply, budgets: Reply) -> Reply:
    if budgets.status == EXIT_DONE:
        return reply
    return reply._replace(messages=[*budgets.messages, *reply.messages], status=budgets.status)
