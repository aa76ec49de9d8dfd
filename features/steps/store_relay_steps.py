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
    """Start them."""
    context.cut = CutFleet(routers, sidecars, total)
    context.add_cleanup(context.cut.close)
    # The steps about spending are those of shares.feature.
    context.shares = context.cut
    context.refused = 0
    context.relayed = 0


@when('the routers are cut off from the store')
def cut(context: Any) -> None:
    """Swallow what they send there."""
    context.cut.cut(True)


@when('the cut heals')
def heal(context: Any) -> None:
    """Let everything through again."""
    context.cut.cut(False)


@when('the routers wait {seconds:d} seconds')
def wait(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.cut.sleep(seconds)


@when('sidecar {number:d} falls silent')
def silence(context: Any, number: int) -> None:
    """Lose its messages."""
    context.cut.silence(number)


@when('sidecar {number:d} stops')
def stop(context: Any, number: int) -> None:
    """Stop it gracefully."""
    context.cut.leave_sidecar(number)


@when('both sidecars fall silent')
def silence_both(context: Any) -> None:
    """Lose the messages of both, and count from then on."""
    context.cut.silence(0)
    context.cut.silence(1)
    context.cut.count_in_vain()


@then('each router knows {count:d} sidecars')
def knows(context: Any, count: int) -> None:
    """Look at what each has on record."""
    assert {len(directory.sidecars) for directory in context.cut.directories} == {count}


@then('each router followed the store in vain at most {most:d} times')
def in_vain(context: Any, most: int) -> None:
    """Look at the router that did so most often."""
    assert 0 < max(context.cut.in_vain.values()) <= most, context.cut.in_vain


@when('the answers of the sidecars are lost')
def lose(context: Any) -> None:
    """Lose their answers."""
    context.cut.lose_replies()


@when('the store goes down for everybody')
def down(context: Any) -> None:
    """Take it away from all."""
    context.cut.store.fail(True)
    context.called = sum(context.cut.store.calls.values())


@when('the routers read a key 10 times a second for {seconds:d} seconds')
def read(context: Any, seconds: int) -> None:
    """Read steadily."""
    for _ in range(int(seconds / STEP_S)):
        context.cut.read()
        context.cut.sleep(STEP_S)


@then('some requests were refused')
def some_refused(context: Any) -> None:
    """Count them."""
    assert context.refused > 0


@then('the sidecars made calls')
def made(context: Any) -> None:
    """Remember how many."""
    context.relayed = context.cut.relayed()
    assert context.relayed > 0


@then('the sidecars made no more calls')
def made_no_more(context: Any) -> None:
    """Allow for those under way when the cut healed."""
    more = context.cut.relayed() - context.relayed
    # Until a router looks, within 0.8 s, it may renew its entry, look for others and follow both
    # prefixes by the relay: four calls of each of two routers, counted as asked and as answered.
    assert more <= 16, more
    before = context.cut.relayed()
    context.cut.spend(0, 1)
    context.cut.sleep(1)
    assert context.cut.relayed() == before


@then('each read told that nothing was reached')
def unreached(context: Any) -> None:
    """Look at each."""
    assert context.cut.reads
    assert all(isinstance(told, StoreUnreachable) for told in context.cut.reads)


@then('the store was called at most {most:d} times')
def called(context: Any, most: int) -> None:
    """Count what reached it since it went down."""
    count = sum(context.cut.store.calls.values()) - context.called
    assert count <= most, count


@then('a write through a sidecar is told as unsure, and the store has it once')
def written(context: Any) -> None:
    """Write, and look past all faults."""
    told = context.cut.call('router', 'swap', 'a/key', b'one', 0)
    assert isinstance(told, StoreWriteUnconfirmed), told
    stored = context.cut.store.kept('a/key')
    assert stored is not None
    assert stored.value == b'one'


@then('every call of the store gives the same by both ways')
def same(context: Any) -> None:
    """Go through the calls, those that change something on a key for each way."""
    fleet = context.cut
    lease = {way: fleet.call(way, 'grant', 5) for way in ('store', 'sidecar')}
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
    for way, lease_id in lease.items():
        written = fleet.call(way, 'swap', f'own/{way}', b'x', 0)
        assert isinstance(written, Stored), written
        assert fleet.store.kept(f'own/{way}') == written
        lost = fleet.call(way, 'swap', f'own/{way}', b'y', 0)
        assert isinstance(lost, Conflict), lost
        assert lost.version == written.version
        assert fleet.call(way, 'keep_alive', lease_id) is True
        assert fleet.call(way, 'keep_alive', lease_id + 100) is False
    fleet.store.lose_answers = 1
    assert isinstance(fleet.call('sidecar', 'swap', 'own/lost', b'x', 0), StoreWriteUnconfirmed)


@then('a router without the list is told it by another that has it')
def told(context: Any) -> None:
    """Leave the list out of what one router knows."""
    have, lack = context.cut.directories
    lack.sidecars = ()
    context.cut.routers[1].store_status.failed('cut off')
    context.cut.sleep(1)
    assert set(lack.sidecars) == set(have.sidecars)
    assert have.sidecars
