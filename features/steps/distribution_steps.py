"""Steps of distribution.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet import revisions
from subjects.distribution import DistributionSubject


@given('a distribution over {routers:d} routers and {sidecars:d} sidecars in each of {names}')
def start(context: Any, routers: int, sidecars: int, names: str) -> None:
    """Start a fleet with membership and distribution."""
    context.subject = DistributionSubject()
    context.add_cleanup(context.subject.close)
    context.subject.start(names.split(', '), routers, sidecars)


@given('a distribution where revision {revision:d} is in force everywhere')
def first(context: Any, revision: int) -> None:
    """Write the first revision and wait until it is in force everywhere."""
    context.subject.accept(revision)
    in_force(context, revision, 4)


@when('the distribution accepts revision {revision:d}')
def accept(context: Any, revision: int) -> None:
    """Write one revision."""
    context.subject.accept(revision)


@when('the distribution accepts {count:d} revisions from {first_one:d} on')
def accept_many(context: Any, count: int, first_one: int) -> None:
    """Write several revisions in a row."""
    context.subject.accept_many(first_one, count)


@when('the distribution runs for {seconds:g} seconds')
def run(context: Any, seconds: float) -> None:
    """Advance the time, after noting the number of store calls so far."""
    context.before = dict(context.subject.fleet.store.calls)
    context.subject.stage.run_for(seconds)


@when('the distribution loses the first relay of {data_centre}')
def lose_first(context: Any, data_centre: str) -> None:
    """Kill one relay."""
    context.subject.kill(context.subject.relays(data_centre)[0])


@when('the distribution loses both relays of {data_centre}')
def lose_both(context: Any, data_centre: str) -> None:
    """Kill both relays."""
    for name in context.subject.relays(data_centre):
        context.subject.kill(name)


@when('the distribution disconnects the first relay of {data_centre} from its peers')
def disconnect_first(context: Any, data_centre: str) -> None:
    """Disconnect a relay from all instances but not from the store."""
    context.subject.disconnect_from_peers(context.subject.relays(data_centre)[0])


@when('the distribution disconnects {name} from its own data centre')
def disconnect_own(context: Any, name: str) -> None:
    """Disconnect an instance from its own data centre but not from the others."""
    others = set(context.subject.of(name.partition('/')[0])) - {name}
    context.subject.part([name], others)


@when("the distribution's watches stop delivering changes")
def break_watches(context: Any) -> None:
    """Break all watches without an error."""
    context.subject.break_watches()


@when("the distribution's store is unreachable from {data_centre}")
def cut_store(context: Any, data_centre: str) -> None:
    """Disconnect one data centre from the store."""
    context.subject.cut_store(data_centre)


@when('the distribution drops all pushes to {name}')
def drop_pushes(context: Any, name: str) -> None:
    """Have an instance reject all pushes."""
    context.subject.refuse_pushes(name)


@when("the distribution's store is down for {seconds:g} seconds")
def down_for(context: Any, seconds: float) -> None:
    """Make the store unavailable for some seconds."""
    context.subject.fleet.store.fail(down=True)
    context.subject.stage.run_for(seconds)
    context.subject.fleet.store.fail(down=False)


@when("the distribution's store is down")
def down(context: Any) -> None:
    """Make the store unavailable."""
    context.subject.fleet.store.fail(down=True)


@when("the distribution's store has revision {revision:d} again")
def restored(context: Any, revision: int) -> None:
    """Write an older head, like a restored backup."""
    context.subject.overwrite(revision)


@when("the distribution's store has revision {revision:d} in a newer format")
def newer(context: Any, revision: int) -> None:
    """Write a head with a later format number."""
    context.subject.overwrite(revision, revisions.FORMAT + 1)


@when("the distribution's store has revision {revision:d} with a part that is not there")
def damaged(context: Any, revision: int) -> None:
    """Write a head that names a missing part."""
    context.subject.damage(revision)


@when('the distribution pushes garbage as revision {revision:d} to {name}')
def push_garbage(context: Any, revision: int, name: str) -> None:
    """Push data that can't be unpacked."""
    context.subject.push_garbage(name, revision)


@when('the distribution has a new {role} {name}')
def new_instance(context: Any, role: str, name: str) -> None:
    """Start an instance with one seed."""
    subject = context.subject
    subject.stage.call(subject.fleet.start, name, role, ['porto-b/r0'])


@when('the distribution disconnects {data_centre} from all others and the store')
def cut_off(context: Any, data_centre: str) -> None:
    """Disconnect a data centre from all other instances and the store."""
    subject = context.subject
    inside = subject.of(data_centre)
    subject.part(inside, set(subject.fleet.nodes) - set(inside))
    subject.cut_store(data_centre)


@when('the distribution is restored')
def heal(context: Any) -> None:
    """Remove all faults."""
    context.subject.fleet.net.heal()
    context.subject.fleet.faults.cut.clear()


@then('the distribution has revision {revision:d} in force everywhere within {seconds:g} seconds')
def in_force(context: Any, revision: int, seconds: float) -> None:
    """Check that all instances reach a revision in time."""
    subject = context.subject
    found = subject.stage.wait(lambda: subject.in_force(revision), seconds)
    assert found, subject.revisions()


@then('the distribution has revision {revision:d} in force in {data_centre}')
def in_force_in(context: Any, revision: int, data_centre: str) -> None:
    """Check the revision of all instances of one data centre."""
    revisions_found = context.subject.revisions()
    assert {revisions_found[name] for name in context.subject.of(data_centre)} == {revision}, (
        revisions_found
    )


@then('the distribution logged {name}')
def logged(context: Any, name: str) -> None:
    """Check that an event was logged."""
    assert name in context.subject.events, sorted(set(context.subject.events))


@then('a late push of revision 1 to each instance of the distribution changes nothing')
def late_push(context: Any) -> None:
    """Check that a push of an old revision has no effect."""
    assert not any(map(context.subject.late_push, context.subject.fleet.nodes))


@then('{name} of the distribution catches up with {other} to revision {revision:d} at once')
def catches_up(context: Any, name: str, other: str, revision: int) -> None:
    """Check that an instance catches up with another one."""
    subject = context.subject
    assert subject.revisions()[name] < revision
    assert subject.catch_up(name, other, revision)
    assert subject.revisions()[name] == revision


@then('the distribution never moved to a lower revision')
def never_lower(context: Any) -> None:
    """Check that the revisions of each instance only increased."""
    for name, moves in context.subject.moves.items():
        assert moves == sorted(set(moves)), (name, moves)


@then(
    'the distribution has {watches:d} watches open '
    'and made at most {reads:d} reads in {seconds:d} seconds'
)
def store_calls(context: Any, watches: int, reads: int, seconds: int) -> None:
    """Check the open watches, and the reads since the last advance of the time."""
    calls = context.subject.fleet.store.calls
    assert len(context.subject.fleet.faults.watching) == watches, calls
    assert 0 < calls['read'] - context.before['read'] <= reads, calls
