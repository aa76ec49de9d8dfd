"""Steps of store_relay.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from subjects.store_relay import CutFleet

STEP_S = 0.1


@given('{routers:d} routers and {sidecars:d} sidecars that share a total of {total:d} tokens')
def start(context: Any, routers: int, sidecars: int, total: int) -> None:
    """Start the routers and sidecars."""
    context.cut = CutFleet(routers, sidecars, total)
    context.add_cleanup(context.cut.close)
    # The steps about spending are those of shares.feature.
    context.shares = context.cut
    context.refused = 0
    context.relayed = 0


@when('the routers are cut off from the store')
def cut(context: Any) -> None:
    """Drop the routers' messages to the store."""
    context.cut.cut(True)


@when('the connection is restored')
def heal(context: Any) -> None:
    """Deliver messages again."""
    context.cut.cut(False)


@when('the routers wait {seconds:d} seconds')
def wait(context: Any, seconds: int) -> None:
    """Let virtual time pass."""
    context.cut.sleep(seconds)


@when('sidecar {number:d} falls silent')
def silence(context: Any, number: int) -> None:
    """Lose the sidecar's messages."""
    context.cut.silence(number)


@when('sidecar {number:d} stops')
def stop(context: Any, number: int) -> None:
    """Stop the sidecar gracefully."""
    context.cut.deregister_sidecar(number)


@when('both sidecars stop answering')
def silence_both(context: Any) -> None:
    """Lose the messages of both, and count failed polls from then on."""
    context.cut.silence(0)
    context.cut.silence(1)
    context.cut.count_failed_polls()


@then('each router knows {count:d} sidecars')
def knows(context: Any, count: int) -> None:
    """Check the sidecars that each router knows."""
    assert {len(directory.sidecars) for directory in context.cut.directories} == {count}


@then('each router polled a silent sidecar at most {most:d} times')
def failed_polls(context: Any, most: int) -> None:
    """Check the router with most failed polls."""
    assert 0 < max(context.cut.failed_polls.values()) <= most, context.cut.failed_polls


@when('the answers of the sidecars are lost')
def lose(context: Any) -> None:
    """Lose the sidecars' answers."""
    context.cut.lose_replies()


@when('the store goes down for all')
def down(context: Any) -> None:
    """Make the store unavailable to all instances."""
    context.cut.store.fail(True)
    context.called = sum(context.cut.store.calls.values())


@when('the routers read a key 10 times a second for {seconds:d} seconds')
def read(context: Any, seconds: int) -> None:
    """Read at a steady rate."""
    for _ in range(int(seconds / STEP_S)):
        context.cut.read()
        context.cut.sleep(STEP_S)


@then('some requests were refused')
def some_refused(context: Any) -> None:
    """Check that there were refusals."""
    assert context.refused > 0


@then('the sidecars made calls')
def made(context: Any) -> None:
    """Check and keep the number of relayed calls."""
    context.relayed = context.cut.relayed()
    assert context.relayed > 0


@then('the sidecars made no more calls')
def made_no_more(context: Any) -> None:
    """Allow for calls in flight when the connection was restored."""
    more = context.cut.relayed() - context.relayed
    # Until its next probe, within 0.8 s, a router may renew its entry, list the others and poll
    # both prefixes through the relay: four calls by each of two routers, counted as request and
    # reply.
    assert more <= 16, more
    before = context.cut.relayed()
    context.cut.spend(0, 1)
    context.cut.sleep(1)
    assert context.cut.relayed() == before


@then('each read failed because nothing was reached')
def unreached(context: Any) -> None:
    """Check the outcome of each read."""
    assert context.cut.reads
    assert all(isinstance(outcome, StoreUnreachable) for outcome in context.cut.reads)


@then('the store was called at most {most:d} times')
def called(context: Any, most: int) -> None:
    """Check the number of calls since the store went down."""
    count = sum(context.cut.store.calls.values()) - context.called
    assert count <= most, count


@then('a write through a sidecar is reported as unconfirmed, and the store has it once')
def written(context: Any) -> None:
    """Write through a sidecar, and read the store directly."""
    outcome = context.cut.call('router', 'swap', 'a/key', b'one', 0)
    assert isinstance(outcome, StoreWriteUnconfirmed), outcome
    stored = context.cut.store.kept('a/key')
    assert stored is not None
    assert stored.value == b'one'


@then('every store call gives the same result directly and through a sidecar')
def same(context: Any) -> None:
    """Make each call both directly and through a sidecar, writes with a separate key for each."""
    fleet = context.cut
    lease = {path: fleet.call(path, 'grant', 5) for path in ('store', 'sidecar')}
    fleet.store.put('many/1', b'')
    fleet.store.put('many/2', b'\x00\xff')
    for name, arguments in (
        ('read', ('many/1',)),
        ('read', ('none',)),
        ('list', ('many/',)),
        ('list_stale', ('many/',)),
        ('scan', ('many/',)),
        ('poll', ('many/', 0, 0.1)),
        ('poll', ('none/', 0, 0.1)),
    ):
        direct = fleet.call('store', name, *arguments)
        assert fleet.call('sidecar', name, *arguments) == direct, (name, direct)
    assert isinstance(fleet.call('sidecar', 'read', 'none'), Absent)
    _writes(fleet, lease)
    fleet.store.forget()
    assert isinstance(fleet.call('sidecar', 'poll', 'many/', 0, 0.1), Absent)
    fleet.store.fail(True)
    assert isinstance(fleet.call('sidecar', 'read', 'many/1'), StoreUnreachable)


def _writes(fleet: CutFleet, lease: dict[str, int]) -> None:
    for path, lease_id in lease.items():
        written = fleet.call(path, 'swap', f'own/{path}', b'x', 0)
        assert isinstance(written, Stored), written
        assert fleet.store.kept(f'own/{path}') == written
        lost = fleet.call(path, 'swap', f'own/{path}', b'y', 0)
        assert isinstance(lost, Conflict), lost
        assert lost.version == written.version
        assert fleet.call(path, 'keep_alive', lease_id) is True
        assert fleet.call(path, 'keep_alive', lease_id + 100) is False
    fleet.store.lose_answers = 1
    assert isinstance(fleet.call('sidecar', 'swap', 'own/lost', b'x', 0), StoreWriteUnconfirmed)


@then('a router without the list of sidecars gets it from another router')
def list_received(context: Any) -> None:
    """Remove the list from one router."""
    have, lack = context.cut.directories
    lack.sidecars = ()
    context.cut.routers[1].store_status.failed('cut off')
    context.cut.sleep(1)
    assert set(lack.sidecars) == set(have.sidecars)
    assert have.sidecars
