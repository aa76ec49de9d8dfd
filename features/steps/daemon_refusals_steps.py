"""Steps of daemon_refusals.feature."""

import re
from typing import Any

from behave import given, then, when

from subjects.daemon_refusals import REQUEST_KEY, Refusals

REMEMBERED = 4096


@given('daemon refusals: an account with a budget of {tokens:d} tokens')
def account(context: Any, tokens: int) -> None:
    """Build the subject; the fleet starts with the plot."""
    context.refusals = Refusals(tokens)


@when('daemon refusals: the caller asks for more than that')
def ask(context: Any) -> None:
    """Ask."""
    context.refusals.play(context.refusals.ask)


@when('daemon refusals: the account is topped up and the caller asks again')
def top_up(context: Any) -> None:
    """Top up and ask."""
    context.refusals.play(context.refusals.top_up, context.refusals.ask)


@when('daemon refusals: the only backend server is lost and the caller asks')
def lose(context: Any) -> None:
    """Lose the server and ask."""
    context.refusals.play(context.refusals.lose_server, context.refusals.ask)


@when('daemon refusals: a claim comes to the holder after its deadline')
def late(context: Any) -> None:
    """Claim late."""
    context.refusals.play(context.refusals.claim_late)


@when('daemon refusals: the caller asks, and asks something else with the same key')
def ask_twice(context: Any) -> None:
    """Use a key for two bodies."""
    context.refusals.play(context.refusals.ask, context.refusals.ask_something_else)


@when('daemon refusals: a request runs, and 6000 are refused at its holder')
def flood(context: Any) -> None:
    """Flood the holder."""
    context.refusals.play(context.refusals.ask, context.refusals.flood)


@then('daemon refusals: the caller was refused with "{code}" and {status:d}')
def refused(context: Any, code: str, status: int) -> None:
    """Compare what the caller heard."""
    got = context.refusals.got[-1]
    assert (got.code, got.status) == (code, status), (got.status, got.body)


@then('daemon refusals: the caller has its answer')
def answered(context: Any) -> None:
    """Compare what the caller heard."""
    got = context.refusals.got[-1]
    assert got.complete and got.status == 200, (got.status, got.body)


@then('daemon refusals: "request id:" says {words}')
def says(context: Any, words: str) -> None:
    """Look for words in what the support engineer is told."""
    told = '\n'.join(context.refusals.told)
    for word in re.findall('"([^"]+)"', words):
        assert word in told, (word, told)


@then('daemon refusals: "request id:" tells the code and the status that the caller got')
def tells(context: Any) -> None:
    """Compare what both were told."""
    got = context.refusals.got[-1]
    assert got.status >= 400, got.status
    says(context, f'"refused", "{got.code}", "{got.status}" and "nothing billed"')


@then('daemon refusals: the request is billed once')
def billed_once(context: Any) -> None:
    """Count the bills among the steps."""
    record = context.refusals.record
    bills = [step for step in record['steps'] if step['name'] == 'settled']
    assert len(bills) == 1 and record['used_tokens'] > 0, record


@then('daemon refusals: the holder remembers {count:d} refusals, the newest, and the run')
def remembers(context: Any, count: int) -> None:
    """Compare what is kept."""
    assert context.refusals.remembered == count, context.refusals.remembered
    assert context.refusals.record['request_key'] == REQUEST_KEY
    assert context.refusals.record['state'] == 'ended', context.refusals.record
