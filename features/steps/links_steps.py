"""Steps of links.feature and links_silence.feature."""

from typing import Any

from behave import given, then, when

from subjects.links import Links


def _links(context: Any) -> Links:
    context.links = Links()
    context.add_cleanup(context.links.close)
    return context.links


@given('links: no instance')
def no_instance(context: Any) -> None:
    """Have a caller only."""
    _links(context)


@given('links: an instance that answers claims')
def answers(context: Any) -> None:
    """Answer claims at once."""
    links = _links(context)
    links.start(links.answer)


@given('links: an instance that answers claims under another fleet key')
def other_key(context: Any) -> None:
    """Expect another fleet key."""
    links = _links(context)
    links.start(links.answer, 'of another fleet')


@given('links: an instance whose claims take {seconds:d} seconds')
def slow(context: Any, seconds: int) -> None:
    """Answer claims late."""
    links = _links(context)
    links.start(links.slowly(seconds))


@given('links: an instance whose claims wait for a settlement')
def waiting(context: Any) -> None:
    """Answer claims once something was settled."""
    links = _links(context)
    links.start(links.when_settled)


@given('links: an instance whose claims fail')
def failing(context: Any) -> None:
    """Fail while answering claims."""
    links = _links(context)
    links.start(links.fail)


@given('links: an instance whose streams say nothing after the first chunk')
def quiet_streams(context: Any) -> None:
    """Stream one chunk and wait."""
    answers(context)


@given('links: an instance that streams without end')
def endless_streams(context: Any) -> None:
    """Stream as fast as the reader takes it."""
    answers(context)
    context.links.endless = True


@when('links: a {kind:w} is sent')
def send(context: Any, kind: str) -> None:
    """Make a call and wait for it."""
    context.links.run(context.links.call, kind)


@when('links: a {kind:w} with {seconds:d} seconds is sent')
def send_with_deadline(context: Any, kind: str, seconds: int) -> None:
    """Make a call with a deadline and wait for it."""
    context.links.run(context.links.call, kind, seconds)


@when('links: a claim with {seconds:d} seconds is sent and the connections go silent {way}')
def send_and_silence(context: Any, seconds: int, way: str) -> None:
    """Make a call and lose the connection under it."""
    if way == 'towards the instance':
        silence(context, way)
    context.links.begin('claim', seconds)
    silence(context, way)
    context.links.finish()


@when('links: the open connections go silent {way}')
def silence(context: Any, way: str) -> None:
    """Lose what is written from now on."""
    context.links.wires.silence(
        near=way in {'in both directions', 'towards the instance'},
        far=way in {'in both directions', 'towards the caller'},
    )


@when('links: {seconds:g} seconds pass')
def pass_time(context: Any, seconds: float) -> None:
    """Let time pass, and note what was sent before."""
    context.before_bytes = context.links.sent_bytes()
    context.links.sleep(seconds)


@when('links: a stream is followed and its reader goes silent')
def follow_silent(context: Any) -> None:
    """Read one chunk, then lose the reader."""
    context.links.follow(1)
    assert context.links.streams == 1
    context.links.wires.silence()


@when('links: a stream is followed by a reader that is busy for {seconds:d} seconds')
def follow_busily(context: Any, seconds: int) -> None:
    """Read a chunk, be busy, and read on."""
    context.links.run(context.links.follow_busily, seconds)


@then('links: the stream was silent {seconds:d} seconds later')
def stream_silent(context: Any, seconds: int) -> None:
    """Compare what the reader saw."""
    outcome = context.links.outcomes['follow'][-1]
    assert outcome.kind == 'silent' and round(outcome.took_s, 2) == seconds, outcome


@when('links: {count:d} streams are followed and not read beyond the first chunk')
def follow(context: Any, count: int) -> None:
    """Read one chunk of each."""
    context.links.follow(count)


@when('links: the instance stops to read')
def stop_reading(context: Any) -> None:
    """Let the caller's buffers fill."""
    for near, _ in context.links.wires.pairs:
        near.held = True


@when('links: {count:d} claims of {size:d} bytes with {seconds:d} seconds are sent')
def send_many(context: Any, count: int, size: int, seconds: int) -> None:
    """Make calls side by side and wait for all."""
    context.links.begin('claim', seconds, count, size)
    context.links.finish()


@when('links: {count:d} claims with {seconds:d} seconds are sent and then a settlement')
def send_then_settle(context: Any, count: int, seconds: int) -> None:
    """Make calls that wait for the one after them."""
    context.links.begin('claim', seconds, count)
    context.links.begin('settle', seconds)
    context.links.finish()


@when('links: a claim with {seconds:d} seconds is sent, the instance stops, and a note is sent')
def send_and_stop(context: Any, seconds: int) -> None:
    """Stop the instance under a call."""
    context.links.begin('claim', seconds)
    context.links.stop()
    context.links.begin('note', seconds)
    context.links.finish()


@when('links: no connection can be made')
def hang(context: Any) -> None:
    """Lose the packets that open connections."""
    context.links.wires.hanging = True


@when('links: new connections are taken and never greeted')
def never_greet(context: Any) -> None:
    """Have a process that hangs."""
    context.links.wires.mute = True


@when('links: new connections are taken and ended')
def end_new(context: Any) -> None:
    """Have something else listen."""
    context.links.wires.ending = True


@when('links: {count:d} addresses that nobody listens at are called')
def call_many(context: Any, count: int) -> None:
    """Call one address after the other."""
    for port in range(1, count + 1):
        context.links.address = f'127.0.0.1:{port}'
        send(context, 'note')


@then('links: the last claim was {kind:w} after at most {most:g} seconds')
def last_at_most(context: Any, kind: str, most: float) -> None:
    """Compare the last outcome."""
    last_between(context, kind, 0, most)


@then('links: the last claim was {kind:w} after {least:d} to {most:g} seconds')
def last_between(context: Any, kind: str, least: float, most: float) -> None:
    """Compare the last outcome."""
    last = context.links.outcomes['claim'][-1]
    assert last.kind == kind and least <= last.took_s <= most, last


@then('links: the last claim was refused')
def last_refused(context: Any) -> None:
    """Compare the last outcome."""
    assert context.links.outcomes['claim'][-1].kind == 'refused', context.links.outcomes


@then('links: the note was {kind:w}')
def note_was(context: Any, kind: str) -> None:
    """Compare the last outcome of notes."""
    assert context.links.outcomes['note'][-1].kind == kind, context.links.outcomes


@then('links: all of them were answered after at most {most:d} seconds')
def all_answered(context: Any, most: int) -> None:
    """Compare all outcomes."""
    found = [outcome for calls in context.links.outcomes.values() for outcome in calls]
    assert all(call.kind == 'answered' and call.took_s <= most for call in found), found[:3]
    assert len(context.links.outcomes['claim']) == 300


@then('links: all of them were refused')
def all_refused(context: Any) -> None:
    """Compare all outcomes."""
    assert {call.kind for call in context.links.outcomes['claim']} == {'refused'}


@then('links: all of them failed after {least:d} to {most:d} seconds')
def all_failed(context: Any, least: int, most: int) -> None:
    """Compare all outcomes: some were never sent, for the buffers were full."""
    found = context.links.outcomes['claim']
    assert found and {call.kind for call in found} <= {'silent', 'unreachable'}, found
    odd = [call for call in found if not least <= call.took_s <= most]
    assert not odd, odd


@then('links: the other instance {did} {count:d} claims')
def claims_done(context: Any, did: str, count: int) -> None:
    """Compare what the handler saw."""
    found = {'ran': context.links.claims, 'cancelled': context.links.cancelled}[did]
    assert found == count, found


@then('links: {count:d} connections were made')
def connections_made(context: Any, count: int) -> None:
    """Count connections, open or not."""
    assert len(context.links.wires.pairs) == count, context.links.wires.pairs


@then('links: {count:d} connections are open')
def connections_open(context: Any, count: int) -> None:
    """Count connections that the caller has open."""
    assert context.links.wires.open_pairs() == count


@then('links: no connection is left behind')
def none_left(context: Any) -> None:
    """Look for connections that were closed and never given back."""
    assert all(near.lost for near, _ in context.links.wires.pairs)


@then('links: the instance has {count:d} streams open')
def streams_open(context: Any, count: int) -> None:
    """Count streams whose handler runs."""
    assert context.links.streams == count, context.links.streams


@then('links: no stream was made beyond {limit:d} bytes')
def streams_held(context: Any, limit: int) -> None:
    """Compare how far the handlers came."""
    made = context.links.made_bytes
    assert len(made) == 100 and 0 < max(made) <= limit, max(made)


@then('links: nothing was sent meanwhile')
def nothing_sent(context: Any) -> None:
    """Compare bytes on the wire."""
    assert context.links.sent_bytes() == context.before_bytes


@then('links: event {number:d} was logged')
def logged(context: Any, number: int) -> None:
    """Look for an event."""
    assert number in context.links.events, context.links.events


@then('links: at most {count:d} links are kept')
def kept(context: Any, count: int) -> None:
    """Count links that the caller holds."""
    assert len(context.links.peers.links) <= count, len(context.links.peers.links)
