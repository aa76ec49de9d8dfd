"""rules: the rules on repeated requests in force, in the order in which they are tried."""

from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words

_COLUMNS = ('number', 'service', 'method', 'path_prefix', 'model', 'repeat')


@command('rules', 'List the rules on repeated requests; the first that matches wins.', 'rules')
async def run(desk: Desk, words: Words) -> Reply:
    """List from the configuration in force at this router."""
    rows = []
    for number, rule in enumerate(desk.view.configuration.repeat_rules, start=1):
        verdict = 'may' if rule.may_repeat else 'never'
        if rule.caller_may_choose:
            verdict = 'caller'
        rows.append({'number': number, 'repeat': verdict, **rule._asdict()})
    return Reply((), _COLUMNS, rows)
