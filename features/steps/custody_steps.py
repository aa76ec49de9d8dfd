"""Steps of custody.feature."""

from random import Random
from typing import Any

from behave import then, when

from endivesaddle.fleet.routes.grant_group import GROUPS, PREFIX
from endivesaddle.fleet.routes.grants import decode
from endivesaddle.fleet.sentinels import Refusal
from subjects.store_relay import unallocated

SEED = 5
STEP_S = 0.1
OUTAGE_EVERY = 50
KILL_EVERY = 67
KILL_SIDECAR_EVERY = 91
LOSE_EVERY = 40


@when('router {router:d} is killed alone and starts anew')
def kill(context: Any, router: int) -> None:
    """Kill and restart the router."""
    context.cut.kill(router)


@when('the router that owns the account is killed and starts anew')
def kill_keeper(context: Any) -> None:
    """Kill and restart the router whose allocator has most tokens to hand out."""
    kept = [unallocated(router.allocator) for router in context.cut.routers]
    assert max(kept) > 0, kept
    context.cut.kill(kept.index(max(kept)))


@when('each sidecar is killed and starts anew')
def kill_sidecars(context: Any) -> None:
    """Kill and restart the sidecars one after the other."""
    assert context.cut.held_by_sidecars() > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.kill_sidecar(number)


@when('each sidecar is killed and starts anew, and router {router:d} with them')
def kill_with_router(context: Any, router: int) -> None:
    """Kill and restart them at the same time."""
    context.killed_headroom = context.cut.held_by_sidecars()
    assert context.killed_headroom > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.kill_sidecar(number)
    context.cut.kill(router)


@when('the sidecar that owns the account is down for 1 second, and starts anew')
def restart_keeper(context: Any) -> None:
    """Kill and restart the sidecar with most tokens, while requests continue."""
    _restart_keeper(context, list(range(len(context.cut.routers))))


@when(
    'the sidecar that owns the account is down for 1 second while router {router:d} is idle, '
    'and starts anew'
)
def restart_keeper_unseen(context: Any, router: int) -> None:
    """Do the same while requests continue at all other routers."""
    busy = [number for number, _ in enumerate(context.cut.routers) if number != router]
    _restart_keeper(context, busy)


def _restart_keeper(context: Any, busy: list[int]) -> None:
    kept = [unallocated(allocator) for allocator in context.cut.allocators]
    context.killed_headroom = max(kept)
    assert context.killed_headroom > 0
    context.cut.lose_sidecar(kept.index(max(kept)))
    for number in range(20):
        context.cut.spend(busy[number % len(busy)], 1000)
        context.cut.sleep(1 / 20)
    context.cut.kill_sidecar(kept.index(max(kept)))


@when(
    'all routers spend {tokens:d} tokens in turn, {times:d} times a second for {seconds:d} seconds'
)
def spend_in_turn(context: Any, tokens: int, times: int, seconds: int) -> None:
    """Send requests of one size, each to the next router."""
    for number in range(times * seconds):
        context.cut.spend(number % len(context.cut.routers), tokens)
        context.cut.sleep(1 / times)


@when('all routers and sidecars are killed and start anew')
def kill_all(context: Any) -> None:
    """Kill and restart them at the same time."""
    context.cut.kill_all()


@then('the routers were listed at most {times:d} times to ask for claims')
def listed(context: Any, times: int) -> None:
    """Count only lists of routers alone: the instance directory lists sidecars as well."""
    assert 0 < context.cut.router_lists <= times, context.cut.router_lists


@when('{seconds:g} seconds pass for all')
def wait(context: Any, seconds: float) -> None:
    """Let virtual time pass."""
    context.cut.sleep(seconds)


@then('all but a quarter of the headroom at the kill is spent')
def most_spent(context: Any) -> None:
    """Compare the stranded tokens with the headroom at the kill."""
    stranded = context.cut.total - context.cut.spent
    assert stranded <= context.killed_headroom / 4, (stranded, context.killed_headroom)


@when('the sidecar that owns the account stops answering')
def silence_keeper(context: Any) -> None:
    """Lose the messages of the sidecar with most tokens."""
    kept = [unallocated(allocator) for allocator in context.cut.allocators]
    assert max(kept) > 0, kept
    context.cut.silence(kept.index(max(kept)))


@then('a request for {tokens:d} tokens is refused as retryable')
def come_back(context: Any, tokens: int) -> None:
    """Send the request and check the code of its refusal."""
    refusal = context.cut.hold(0, tokens)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.code == 'budget_unreachable', refusal


@when('each sidecar stops gracefully')
def stop_sidecars(context: Any) -> None:
    """Stop them one after the other."""
    assert context.cut.held_by_sidecars() > 0
    for number, _ in enumerate(context.cut.allocators):
        context.cut.stop_sidecar(number)


@when('each router stops gracefully and starts anew')
def stop_routers(context: Any) -> None:
    """Stop them one after the other."""
    for number, _ in enumerate(context.cut.routers):
        context.cut.stop(number)


@when('the routers spend at random for {seconds:d} seconds, with kills, outages and lost answers')
def at_random(context: Any, seconds: int) -> None:
    """Spend amounts from a seeded generator; faults happen at fixed steps."""
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
    """Return the tokens that are spent or that routers and sidecars may still hand out."""
    shares = [share for router in fleet.routers for share in router.pools.dump().values()]
    free = sum(share['granted_tokens'] - share['spent_tokens'] for share in shares)
    return int(fleet.spent + free + fleet.held_by_sidecars() + fleet.held_by_routers())


@then('the store, the routers and the sidecars never had more than {tokens:d} tokens')
def never_more(context: Any, tokens: int) -> None:
    """Check the largest sum seen, and the sum of grants on record."""
    assert 0 < context.most_held <= tokens, context.most_held
    kept = [context.cut.store.kept(f'{PREFIX}{number}') for number in range(GROUPS)]
    granted = sum(_granted(stored.value) for stored in kept if stored and stored.value)
    assert granted <= tokens, granted


def _granted(value: bytes) -> int:
    records = decode(value).accounts.values()
    return sum(entry.granted for record in records for entry in record.entries.values())
