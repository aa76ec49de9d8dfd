"""Steps of membership.feature."""

from typing import Any

from behave import given, then, when

from endivesaddle.fleet.membership import MembershipSettings
from subjects.membership import MembershipSubject


@given('a membership of {routers:d} routers and {sidecars:d} sidecars in each of {names}')
def start(context: Any, routers: int, sidecars: int, names: str) -> None:
    """Start a fleet."""
    context.subject = MembershipSubject()
    context.add_cleanup(context.subject.close)
    context.subject.start(names.split(', '), routers, sidecars)


@given(
    'a membership that forgets after {seconds:g} seconds, '
    'of {routers:d} routers and {sidecars:d} sidecars in {name}'
)
def start_forgetful(context: Any, seconds: float, routers: int, sidecars: int, name: str) -> None:
    """Start a fleet that forgets soon."""
    context.subject = MembershipSubject()
    context.add_cleanup(context.subject.close)
    context.subject.fleet.membership_settings = MembershipSettings(forget_s=seconds)
    context.subject.start([name], routers, sidecars)


@when('the membership starts router {name}')
def start_router(context: Any, name: str) -> None:
    """Start one more router."""
    subject = context.subject
    seeds = [node.identity.instance for node in subject.routers()]
    subject.stage.call(subject.fleet.start, name, 'router', seeds)


@when('the membership runs for {seconds:g} seconds')
def run(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.subject.stage.run_for(seconds)


@when('the membership loses the first collector of {data_centre}')
def lose_collector(context: Any, data_centre: str) -> None:
    """Kill the top of a tree."""
    context.lost = context.subject.first(data_centre)
    context.subject.kill(context.lost)


@when('the membership loses the router above {name} and all that beat to it')
def lose_rack(context: Any, name: str) -> None:
    """Kill a router and its sidecars in one moment."""
    subject = context.subject
    router = subject.beats_to(name)
    beside = [other for other in subject.of(name.partition('/')[0]) if '/s' in other]
    for other in [one for one in beside if subject.beats_to(one) == router]:
        subject.kill(other)
    subject.kill(router)


@when('the membership loses {name}')
def lose(context: Any, name: str) -> None:
    """Kill an instance."""
    context.subject.kill(name)


@when('the membership hears {name} leave')
def leave(context: Any, name: str) -> None:
    """Tell an instance to leave."""
    context.subject.leave(name)


@when('the membership silences the link of {name} to its router')
def silence(context: Any, name: str) -> None:
    """Let all messages on one link vanish."""
    context.subject.silence_link(name, context.subject.beats_to(name))


@when('the membership restarts {name} as incarnation {incarnation:d}')
def restart(context: Any, name: str, incarnation: int) -> None:
    """Replace an instance under its name."""
    context.subject.restart(name, incarnation)


@when('the membership gets a late beat of {name}, incarnation {incarnation:d}')
def late_beat(context: Any, name: str, incarnation: int) -> None:
    """Deliver a beat from before the end of an incarnation, in both of its forms."""
    sequence = context.subject.last_sequences[name]
    context.subject.late_beat(name, incarnation, sequence)
    context.subject.late_beat(name, incarnation, sequence, whole=True)


@when('the membership gets an old word at {router} that {name} is gone')
def old_word(context: Any, router: str, name: str) -> None:
    """Deliver a declaration that was on its way for long."""
    context.subject.declare_gone(router, name)


@when('the membership has each router find its clock {seconds:g} seconds ahead')
def jump(context: Any, seconds: float) -> None:
    """Let routers wake from a pause, one after the other."""
    for node in context.subject.routers():
        context.subject.jump(node.identity.instance, seconds)
        context.subject.stage.run_for(0.3)


@when('the membership is parted between {data_centre} and the rest')
def part(context: Any, data_centre: str) -> None:
    """Cut a data centre off."""
    subject = context.subject
    inside = subject.of(data_centre)
    subject.part(inside, set(subject.fleet.nodes) - set(inside))


@when('the membership is parted within {data_centre}')
def part_within(context: Any, data_centre: str) -> None:
    """Cut a data centre in two; the other data centres reach both halves."""
    subject = context.subject
    names = sorted(subject.of(data_centre))
    context.halves = (names[::2], names[1::2])
    subject.part(*context.halves)


@when('the membership heals')
def heal(context: Any) -> None:
    """Remove all faults."""
    context.subject.fleet.net.heal()


@when('the membership has every message arrive twice')
def duplicate(context: Any) -> None:
    """Duplicate on all links."""
    context.subject.duplicate_all()


@when('the membership finds {name} listed as {word}')
def listed(context: Any, name: str, word: str) -> None:
    """Set the platform's word."""
    context.subject.listed[name] = word


@when('the membership hears {name} report {running:d} running requests')
def report(context: Any, name: str, running: int) -> None:
    """Report a load."""
    context.subject.report(name, running)


@then('the membership sees all instances live')
def all_live(context: Any) -> None:
    """All see all."""
    assert context.subject.all_live(), context.subject.missing()


@then('the membership sees all instances live within {seconds:g} seconds')
@then('the membership sees all instances live within {seconds:g} seconds more')
def all_live_within(context: Any, seconds: float) -> None:
    """All see all, soon."""
    subject = context.subject
    assert subject.stage.wait(subject.all_live, seconds), subject.missing()


@then('the membership sees the lost collector as {state} everywhere within {seconds:g} seconds')
def lost_seen(context: Any, state: str, seconds: float) -> None:
    """All see the killed collector in a state."""
    seen(context, context.lost, state, seconds)


@then('the membership sees {name} as {state} everywhere within {seconds:g} seconds')
@then('the membership sees {name} as {state} everywhere within {seconds:g} seconds more')
def seen(context: Any, name: str, state: str, seconds: float) -> None:
    """All see an instance in a state."""
    subject = context.subject
    found = subject.stage.wait(lambda: subject.all_see(name, state), seconds)
    assert found, subject.seen(name)


@then('the membership sees {name} as {state} in {data_centre} within {seconds:g} seconds')
def seen_in(context: Any, name: str, state: str, data_centre: str, seconds: float) -> None:
    """All routers of one data centre see an instance in a state."""
    subject = context.subject
    found = subject.stage.wait(lambda: subject.all_see(name, state, data_centre), seconds)
    assert found, subject.seen(name)


@then('the membership has no router that chooses the server of {name}')
def not_chosen(context: Any, name: str) -> None:
    """No router has a sidecar for the server."""
    server = f'{name.partition("/")[0]}/server-{name}'
    assert not context.subject.choose(server), context.subject.choose(server)


@then('the membership at no time logged anybody suspect')
def nobody_suspect(context: Any) -> None:
    """No one was missed."""
    assert 'member_suspected' not in context.subject.events


@then('no router of the membership in {data_centre} has more than {most:d} routers below it')
def balanced(context: Any, data_centre: str, most: int) -> None:
    """The tree has its fan-out."""
    below = {
        node.identity.instance: len(node.membership.children('router'))
        for node in context.subject.routers(data_centre)
    }
    assert max(below.values()) <= most, below


@then('the membership knows {name} as incarnation {incarnation:d} everywhere')
def known_as(context: Any, name: str, incarnation: int) -> None:
    """All know the same incarnation."""
    assert context.subject.incarnations(name) == {incarnation}, context.subject.incarnations(name)


@then('the membership at no time logged more than {count:d} instance gone')
@then('the membership at no time logged more than {count:d} instances gone')
def gone_count(context: Any, count: int) -> None:
    """Count what was declared gone by anyone."""
    assert context.subject.events.count('member_gone') <= count, context.subject.events


@then('the membership agrees on the collectors of {data_centre}')
def same_collectors(context: Any, data_centre: str) -> None:
    """All routers name the same two."""
    named = {
        node.identity.instance: tuple(node.membership.collectors())
        for node in context.subject.routers(data_centre)
    }
    assert len(set(named.values())) == 1, named


@then('the membership remembers nothing of {one} and {other}')
def forgotten(context: Any, one: str, other: str) -> None:
    """Neither records nor pulses nor reports are left."""
    for node in context.subject.routers():
        dump = node.membership.dump()
        assert not {one, other} & set(dump['members']), dump
        assert f'one/server-{other}' not in dump['load_reports'], dump
        assert dump['pulses'] == len(context.subject.routers()) + 1, dump


@then('each half of the membership of {data_centre} sees itself live and the other gone')
def halves_seen(context: Any, data_centre: str) -> None:
    """Compare the views of both halves."""
    one, other = context.halves
    for inside, outside in ((one, other), (other, one)):
        views = context.subject.views_of(inside, inside + outside)
        expected = {**dict.fromkeys(inside, 'live'), **dict.fromkeys(outside, 'gone')}
        for view in views:
            assert view == expected, (data_centre, view)


@then('the membership knows {running:d} running requests beside {name} everywhere')
def reported(context: Any, running: int, name: str) -> None:
    """All routers know a load."""
    server = f'{name.partition("/")[0]}/server-{name}'
    for node in context.subject.routers():
        known = context.subject.reports_at(node.identity.instance)
        assert known.get(server) == running, (node.identity.instance, known)
