"""Steps of custody.feature."""

from random import Random
from typing import Any

from behave import then, when

from endivesaddle.fleet.routes.grant_group import GROUPS, PREFIX
from endivesaddle.fleet.routes.grants import decode
from endivesaddle.fleet.sentinels import Refusal
from subjects.store_relay import ahead

SEED = 5
STEP_S = 0.1
OUTAGE_EVERY = 50
KILL_EVERY = 67
KILL_SIDECAR_EVERY = 91
LOSE_EVERY = 40


@when('router {router:d} is killed alone and starts anew')
def kill(context: Any, router: int) -> None:
    """Kill it."""
    context.cut.kill(router)


@when('the router that keeps the account is killed and starts anew')
def kill_keeper(context: Any) -> None:
    """Kill the one that has most tokens for others."""
    kept = [ahead(router.allocator) for router in context.cut.routers]
    assert max(kept) > 0, kept
    context.cut.kill(kept.index(max(kept)))


@when('each sidecar is killed and starts anew')
def kill_sidecars(context: Any) -> None:
    """Kill one after the other."""
    assert context.cut.deposited() > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.kill_sidecar(number)


@when('each sidecar is killed and starts anew, and router {router:d} with them')
def kill_with_router(context: Any, router: int) -> None:
    """Kill them at one moment."""
    context.killed_ahead = context.cut.deposited()
    assert context.killed_ahead > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.kill_sidecar(number)
    context.cut.kill(router)


@when('the sidecar that keeps the account is away for 1 second, and starts anew')
def restart_keeper(context: Any) -> None:
    """Kill the one that has most tokens, and start it again; callers go on meanwhile."""
    _restart_keeper(context, list(range(len(context.cut.routers))))


@when(
    'the sidecar that keeps the account is away for 1 second while router {router:d} is idle, '
    'and starts anew'
)
def restart_keeper_unseen(context: Any, router: int) -> None:
    """Have callers go on at all other routers meanwhile."""
    busy = [number for number, _ in enumerate(context.cut.routers) if number != router]
    _restart_keeper(context, busy)


def _restart_keeper(context: Any, busy: list[int]) -> None:
    kept = [ahead(allocator) for allocator in context.cut.allocators]
    context.killed_ahead = max(kept)
    assert context.killed_ahead > 0
    context.cut.lose_sidecar(kept.index(max(kept)))
    for number in range(20):
        context.cut.spend(busy[number % len(busy)], 1000)
        context.cut.sleep(1 / 20)
    context.cut.kill_sidecar(kept.index(max(kept)))


@when(
    'all routers spend {tokens:d} tokens in turn, {times:d} times a second for {seconds:d} seconds'
)
def spend_in_turn(context: Any, tokens: int, times: int, seconds: int) -> None:
    """Carry requests of one size, each at the next router."""
    for number in range(times * seconds):
        context.cut.spend(number % len(context.cut.routers), tokens)
        context.cut.sleep(1 / times)


@when('all routers and sidecars are killed and start anew')
def kill_all(context: Any) -> None:
    """Kill them at one moment."""
    context.cut.kill_all()


@then('the routers were listed at most {times:d} times to ask them')
def listed(context: Any, times: int) -> None:
    """Count the lists of routers alone: who looks for all instances lists the sidecars too."""
    assert 0 < context.cut.router_lists <= times, context.cut.router_lists


@when('{seconds:g} seconds go by for all')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.cut.sleep(seconds)


@then('all but a quarter of what lay ahead at the kill is spent')
def most_spent(context: Any) -> None:
    """Compare with the total."""
    stranded = context.cut.total - context.cut.spent
    assert stranded <= context.killed_ahead / 4, (stranded, context.killed_ahead)


@when('the sidecar that keeps the account falls silent')
def silence_keeper(context: Any) -> None:
    """Lose the messages of the one that has most tokens."""
    kept = [ahead(allocator) for allocator in context.cut.allocators]
    assert max(kept) > 0, kept
    context.cut.silence(kept.index(max(kept)))


@then('a request for {tokens:d} tokens is told to come back')
def come_back(context: Any, tokens: int) -> None:
    """Ask for so many, and look at the answer."""
    refusal = context.cut.hold(0, tokens)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.code == 'budget_unreachable', refusal


@when('each sidecar stops gracefully')
def stop_sidecars(context: Any) -> None:
    """Stop one after the other."""
    assert context.cut.deposited() > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.stop_sidecar(number)


@when('each router stops gracefully and starts anew')
def stop_routers(context: Any) -> None:
    """Stop one after the other."""
    for number, _ in enumerate(context.cut.routers):
        context.cut.stop(number)


@when('the routers spend at random for {seconds:d} seconds, with kills, outages and lost answers')
def at_random(context: Any, seconds: int) -> None:
    """Spend from a seeded generator; faults come at fixed steps."""
    random = Random(SEED)
    fleet = context.cut
    context.most_held = 0
    for step in range(1, int(seconds / STEP_S)):
        if step % OUTAGE_EVERY == 0:
            fleet.store.fail(step % (2 * OUTAGE_EVERY) == 0)
        if step % LOSE_EVERY == 0:
            fleet.net.heal()
            fleet.lose_replies()
        elif step % LOSE_EVERY == LOSE_EVERY // 4:
            fleet.net.heal()
        if step % KILL_EVERY == 0:
            fleet.kill(random.randrange(len(fleet.routers)))
        if step % KILL_SIDECAR_EVERY == 0:
            fleet.kill_sidecar(random.randrange(len(fleet.allocators)))
        fleet.spend(random.randrange(len(fleet.routers)), random.randint(100, 3000))
        fleet.sleep(STEP_S)
        context.most_held = max(context.most_held, _held(fleet))


def _held(fleet: Any) -> int:
    """Return what is spent, and what routers and sidecars may still hand out."""
    shares = [share for router in fleet.routers for share in router.pools.dump().values()]
    free = sum(share['granted_tokens'] - share['spent_tokens'] for share in shares)
    return int(fleet.spent + free + fleet.deposited() + fleet.kept_by_routers())


@then('the store, the routers and the sidecars never had more than {tokens:d} tokens')
def never_more(context: Any, tokens: int) -> None:
    """Compare with the largest sum that was seen, and with the record."""
    assert 0 < context.most_held <= tokens, context.most_held
    kept = [context.cut.store.kept(f'{PREFIX}{number}') for number in range(GROUPS)]
    granted = sum(_granted(stored.value) for stored in kept if stored and stored.value)
    assert granted <= tokens, granted


def _granted(value: bytes) -> int:
    records = decode(value).accounts.values()
    return sum(entry.granted for record in records for entry in record.entries.values())
