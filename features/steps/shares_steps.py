"""Steps of shares.feature."""

from random import Random
from typing import Any

from behave import given, then, when

from endivesaddle.fleet.routes.grants import MIN_CHANGE_TOKENS
from endivesaddle.fleet.sentinels import Refusal
from subjects.shares import Shares

SEED = 11
STEP_S = 0.1
OUTAGE_EVERY = 60
KILL_EVERY = 97
LOSE_EVERY = 23


@given('{routers:d} routers that share a total of {total:d} tokens')
def start(context: Any, routers: int, total: int) -> None:
    """Start the routers."""
    context.shares = Shares(routers, total)
    context.add_cleanup(context.shares.close)
    context.refused = 0
    context.most_granted = 0


@when('they spend at random for {seconds:d} seconds, with kills, outages and lost answers')
def spend_at_random(context: Any, seconds: int) -> None:
    """Spend amounts from a seeded generator; faults happen at fixed steps."""
    random = Random(SEED)
    shares = context.shares
    for step in range(int(seconds / STEP_S)):
        if step % OUTAGE_EVERY == 0:
            shares.lose_store(step % (2 * OUTAGE_EVERY) != 0)
        if step % LOSE_EVERY == 0:
            shares.store.lose_answers = 2
        if step % KILL_EVERY == KILL_EVERY - 1:
            shares.kill_all()
        worst = random.randint(100, 4000)
        shares.spend(random.randrange(len(shares.names)), random.randint(0, worst), worst)
        shares.sleep(STEP_S)
        context.most_granted = max(context.most_granted, shares.granted())


@when('router {router:d} spends {tokens:d} tokens {times:d} times a second for {seconds:d} seconds')
def spend(context: Any, router: int, tokens: int, times: int, seconds: int) -> None:
    """Spend at a steady rate, and count refused requests."""
    for _ in range(times * seconds):
        if not context.shares.spend(router, tokens):
            context.refused += 1
        context.shares.sleep(1 / times)


@when('the store is unavailable')
def lose_store(context: Any) -> None:
    """Make the store unavailable."""
    context.shares.lose_store(True)


@when('{count:d} requests of {tokens:d} tokens arrive together at router {router:d}')
def together(context: Any, count: int, tokens: int, router: int) -> None:
    """Reserve for all requests concurrently."""
    before = context.shares.writes()
    context.answers = context.shares.hold_together(router, tokens, count)
    context.writes = context.shares.writes() - before


@then('all of them are admitted')
def admitted(context: Any) -> None:
    """Check that no answer is a refusal."""
    refused = [answer for answer in context.answers if isinstance(answer, Refusal)]
    assert not refused, (len(refused), refused[0])


@then('they took at most {count:d} writes')
def writes_for_them(context: Any, count: int) -> None:
    """Check the number of writes that the store counted."""
    assert context.writes <= count, context.writes


@when('the total is raised to {total:d} tokens')
def raised(context: Any, total: int) -> None:
    """Declare a higher total."""
    context.shares.declare(total)


@when('all routers are killed and start anew')
def kill(context: Any) -> None:
    """Kill and restart all routers."""
    context.shares.kill_all()


@when('all routers stop gracefully {times:d} times and start anew')
def stop(context: Any, times: int) -> None:
    """Stop all routers gracefully and restart them."""
    for _ in range(times):
        context.shares.release_all()
        context.shares.kill_all()


@when('a request of {tokens:d} tokens stays open at router {router:d}')
def stays_open(context: Any, tokens: int, router: int) -> None:
    """Reserve for the request and keep it open."""
    context.open = context.shares.hold(router, tokens)
    assert not isinstance(context.open, Refusal), context.open


@when('the open request ends after {tokens:d} tokens')
def ends(context: Any, tokens: int) -> None:
    """Settle the open reservation."""
    context.open.settle(tokens)


@when('router {router:d} begins to stop')
def leaves(context: Any, router: int) -> None:
    """Have the router give back its unused tokens."""
    context.shares.release(router)


@when('{seconds:d} seconds pass at the routers')
def go_by(context: Any, seconds: int) -> None:
    """Let virtual time pass."""
    context.shares.sleep(seconds)


@then('router {router:d} is granted what it uses and {tokens:d} tokens more')
def granted_to(context: Any, router: int, tokens: int) -> None:
    """Check that the router and its allocator gave back what they do not use."""
    more = context.shares.granted_to(router) - context.shares.used_by(router)
    assert tokens <= more <= tokens + MIN_CHANGE_TOKENS, more
    kept = context.shares.allocators[context.shares.names[router]].dump().values()
    ahead = [one['granted_tokens'] - one['spent_tokens'] - one['routers_tokens'] for one in kept]
    assert max(ahead, default=0) <= MIN_CHANGE_TOKENS, ahead


@then('at most {tokens:d} tokens are spent')
def at_most(context: Any, tokens: int) -> None:
    """Check the number of tokens actually spent."""
    assert context.shares.spent <= tokens, context.shares.spent


@then('at least {tokens:d} tokens are spent')
def at_least(context: Any, tokens: int) -> None:
    """Check the number of tokens actually spent."""
    assert context.shares.spent >= tokens, context.shares.spent


@then('the store never had more than {tokens:d} tokens granted')
def never_granted(context: Any, tokens: int) -> None:
    """Check the largest sum of grants seen."""
    assert 0 < context.most_granted <= tokens, context.most_granted


@then('no request was refused')
def none_refused(context: Any) -> None:
    """Check that no request was refused."""
    assert context.refused == 0, context.refused


@then('the store has seen at most {count:d} writes')
def writes(context: Any, count: int) -> None:
    """Check the number of writes that the store counted."""
    assert context.shares.writes() <= count, context.shares.writes()


@then('the last request was refused as {code}')
def refused_as(context: Any, code: str) -> None:
    """Send one more request and check its refusal."""
    refusal = context.shares.hold(0, 2 * context.shares.total)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.code == code, refusal


@when('the store loses the answers to {count:d} writes')
def lose(context: Any, count: int) -> None:
    """Lose the answers from now on."""
    context.shares.store.lose_answers = count


@when('a request of {tokens:d} tokens is refused at router {router:d}')
def is_refused(context: Any, tokens: int, router: int) -> None:
    """Send the request and check its answer."""
    assert isinstance(context.shares.hold(router, tokens), Refusal)


@then('a request of {tokens:d} tokens is admitted at router {router:d}')
def is_admitted(context: Any, tokens: int, router: int) -> None:
    """Send the request and check its answer."""
    answer = context.shares.hold(router, tokens)
    assert not isinstance(answer, Refusal), answer


@then('a request for {tokens:d} tokens is refused as {code}')
def request_refused_as(context: Any, tokens: int, code: str) -> None:
    """Send the request and check the code of its refusal."""
    refusal = context.shares.hold(0, tokens)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.code == code, refusal
