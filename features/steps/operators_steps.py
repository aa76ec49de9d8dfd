"""Steps of the features of operators."""

from typing import Any

from behave import given, then, when

from endivesaddle.wire import runs_pb2
from subjects.operators import OperatorsSubject
from subjects.operators_plays import OperatorsPlays
from subjects.operators_store import WriteFault


@given('operators at {routers:d} routers with the declarations applied')
def start(context: Any, routers: int) -> None:
    """Start routers over one store and apply the first revision."""
    context.subject = OperatorsSubject(routers)
    context.add_cleanup(context.subject.close)
    context.plays = OperatorsPlays(context.subject)
    assert context.subject.apply().status == 0, context.subject.last


@given(
    'operators at {routers:d} routers who tidy up after each change, with the declarations applied'
)
def start_tidy(context: Any, routers: int) -> None:
    """Start routers over a store of their own."""
    context.subject = OperatorsSubject(routers, tidy_every=1)
    context.add_cleanup(context.subject.close)
    context.plays = OperatorsPlays(context.subject)
    assert context.subject.apply().status == 0, context.subject.last


@when('operators run "{line}" as change {change_id}')
def run_change(context: Any, line: str, change_id: str) -> None:
    """Give a changing command."""
    context.subject.run(line, change_id)


@when('operators run "{line}" as {who:w}')
@when('operators run "{line}" as first-token')
def run_as(context: Any, line: str, who: str = 'first-token') -> None:
    """Give a command with a token."""
    context.subject.run(line, token=who)


@when('operators apply "{change}" against revision {base:d}')
def apply(context: Any, change: str, base: int) -> None:
    """Apply changed declarations."""
    context.subject.apply(change, base)


@when('operators apply "{change}" against revision {base:d} as change {change_id}')
def apply_change(context: Any, change: str, base: int, change_id: str) -> None:
    """Apply changed declarations under an id."""
    context.subject.apply(change, base, change_id)


@when('operators have the store fault {fault} at {key}')
def fault(context: Any, fault: str, key: str) -> None:
    """Have the next write of a key fail."""
    context.subject.store.faults.append((key, WriteFault[fault]))


@when('operators have the store {state:w}')
def outage(context: Any, state: str) -> None:
    """Take the store down or bring it back."""
    context.subject.store.fail(down=state == 'down')


@when('operators have the store take {rate:g} writes a second')
def slow(context: Any, rate: float) -> None:
    """Bound the writes of the routers."""
    context.subject.store.bound(rate)


@when('operators send that apply again, {times:d} times at the most')
def again(context: Any, times: int) -> None:
    """Send the last apply again until it is accepted."""
    heard = [
        context.subject.apply('http://10.0.1 => http://10.0.2', 1, 'a-1') for _ in range(times)
    ]
    assert heard[-1].status == 0, heard


@when('operators wait {seconds:d} seconds')
def wait(context: Any, seconds: int) -> None:
    """Let time pass."""
    context.plays.wait(seconds)


@when('operators keep a copy of the store')
def copy(context: Any) -> None:
    """Copy the store."""
    context.copy = context.subject.store.back()


@when('operators have the copy of the store restored')
def restore(context: Any) -> None:
    """Go back to the copy."""
    context.subject.store.restore(context.copy)


@when('operators have {tokens:d} tokens of {account} granted to a holder')
def grant(context: Any, tokens: int, account: str) -> None:
    """Grant tokens."""
    context.subject.grant(account, tokens)


@when('operators have {tokens:d} tokens of {account} stranded of epoch {epoch:d} in porto-a')
def strand(context: Any, tokens: int, account: str, epoch: int) -> None:
    """Lose a holder and what it knew."""
    context.subject.strand(account, tokens, epoch)


@then('operators see {spent:d} tokens spent and {stranded:d} stranded for {account}')
def spent_and_stranded(context: Any, spent: int, stranded: int, account: str) -> None:
    """Compare the budget's record."""
    budget = context.subject.budget(account)
    left = sum(entry.ceiling for entry in budget['stranded'])
    assert (budget['spent'], left) == (spent, stranded), budget


@when('operators apply "{change}" while a holder is granted {tokens:d} tokens')
def apply_granted(context: Any, change: str, tokens: int) -> None:
    """Grant tokens between the check and the declaration."""
    context.plays.lower_while_granted(change, tokens)


@when('operators drain and undrain {server} {times:d} times')
def toggle(context: Any, server: str, times: int) -> None:
    """Make many changes."""
    for _ in range(times):
        assert context.subject.run(f'drain server:{server}').status == 0
        assert context.subject.run(f'undrain server:{server}').status == 0


@when('operators apply {count:d} budgets of atelier at once against revision 1')
def race_budgets(context: Any, count: int) -> None:
    """Race."""
    context.plays.race_budgets(count)


@when('operators drain {count:d} servers at once')
def race_drains(context: Any, count: int) -> None:
    """Race."""
    context.subject.race(
        [(f'drain server:porto-a/llm-{number}', f'd-{number}') for number in range(count)]
    )


@when('operators race to drain and undrain {count:d} servers, {times:d} times')
def race_toggles(context: Any, count: int, times: int) -> None:
    """Race, back and forth between the same contents."""
    for turn in range(times):
        for verb in ('drain', 'undrain'):
            lines = [
                (f'{verb} server:porto-a/llm-{number}', f'{verb}-{turn}-{number}')
                for number in range(count)
            ]
            heard = context.subject.race(lines)
            wrong = [told.text for told in heard if told.status]
            assert not wrong, wrong


@when('operators run "{first}", tidied up late, and "{second}"')
def tidy_late(context: Any, first: str, second: str) -> None:
    """Have tidying come late."""
    context.plays.tidy_late(first, second)


@when('operators load at a new router while "{first}" and "{second}" run')
def load_late(context: Any, first: str, second: str) -> None:
    """Have parts be tidied up while they are read."""
    context.loaded = context.plays.load_late([first, second])


@then('operators see revision {revision:d} loaded')
def loaded(context: Any, revision: int) -> None:
    """Compare what was loaded."""
    assert context.loaded == revision, context.loaded


@when('operators rule records POST "{one}" and "{other}" in turn, {count:d} at once')
def race_rules(context: Any, one: str, other: str, count: int) -> None:
    """Race."""
    rule = 'repeat service:records method:POST'
    verdicts = (one, other)
    context.subject.race(
        [(f'{rule} {verdicts[place % 2]}', f'r-{place}') for place in range(count)]
    )


@when('operators send "{line}" as change {change_id} through {count:d} routers at once')
def race_same(context: Any, line: str, change_id: str, count: int) -> None:
    """Race."""
    context.subject.race([(line, change_id) for _ in range(count)])


@when(
    'operators apply budgets {first:d} and then {second:d} of atelier while the first write hangs'
)
def cross_budgets(context: Any, first: int, second: int) -> None:
    """Have budgets be written in the wrong order."""
    context.plays.cross_budgets(first, second)


@when('operators have router {one:d} know {key} as dispatched and router {other:d} as ended')
def know(context: Any, one: int, key: str, other: int) -> None:
    """Have two routers know parts of a request."""
    context.plays.know_in_parts(one, other, key)


@when('operators have router {router:d} at revision {revision:d}')
def behind(context: Any, router: int, revision: int) -> None:
    """Have a router be at another revision."""
    context.subject.put_at(router, revision)


@when('operators have router {router:d} at revision {revision:d} and router {other:d} fall silent')
def behind_and_silent(context: Any, router: int, revision: int, other: int) -> None:
    """Have a router be at another revision and cut another one off."""
    context.subject.put_at(router, revision)
    context.subject.silence(other)


@when('operators have the store lose everything')
def lose(context: Any) -> None:
    """Start the store anew."""
    context.subject.store.restore({})


@when('operators have router {router:d} fall silent')
def silence(context: Any, router: int) -> None:
    """Cut a router off from the first."""
    context.subject.silence(router)


@when('operators have a sidecar beside {server} that answers {code:w}')
def sidecar(context: Any, server: str, code: str) -> None:
    """Put a sidecar beside a server."""
    reply = runs_pb2.OrderReply(done=code == 'done', code=code)
    context.orders = context.subject.sidecar(server, reply)


@when('operators have a sidecar beside {server} that has seen fence {fence:d}')
def fenced_sidecar(context: Any, server: str, fence: int) -> None:
    """Put a sidecar beside a server that takes only numbers above one."""
    reply = runs_pb2.OrderReply(code='old_fence', highest_fence=fence)
    context.orders = context.subject.sidecar(server, reply)


@when('operators have router {router:d} know {key} as refused at {data_centre}')
def know_refused(context: Any, router: int, key: str, data_centre: str) -> None:
    """Have a router know another claim."""
    context.plays.know_refused(router, key, data_centre)


@when('operators have a sidecar beside {server} that falls silent')
def silent_sidecar(context: Any, server: str) -> None:
    """Put a sidecar beside a server whose answers vanish."""
    context.subject.sidecar(server, runs_pb2.OrderReply(done=True))
    context.subject.net.part({'10.0.0.0:7000'}, {'10.0.9.1:7000'})


@then('operators hear exit {status:d}')
def exits(context: Any, status: int) -> None:
    """Compare the exit status."""
    assert context.subject.last.status == status, context.subject.last


@then('operators hear exit {status:d} with "{text}"')
def exits_with(context: Any, status: int, text: str) -> None:
    """Compare the exit status and find a text."""
    told = context.subject.last
    assert told.status == status, told
    assert text in told.text, told.text


@then('operators hear HTTP status {http:d}')
def answers(context: Any, http: int) -> None:
    """Compare the HTTP status."""
    assert context.subject.last.http == http, context.subject.last


@then('operators hear a caret under "{word}", and "{possible}" as possible')
@then('operators hear a caret under "{word}", and "" as possible')
def points(context: Any, word: str, possible: str = '') -> None:
    """Compare what the mistake points at."""
    _, line, carets, *options = context.subject.last.text.split('\n')
    place = carets.index('^')
    assert line[place : len(carets)] == word, (line, carets)
    assert possible in ''.join(options), options


@then('operators hear rows with {column} {values}')
def rows(context: Any, column: str, values: str) -> None:
    """Compare one column."""
    found = [row[column] for row in context.subject.last.body['rows']]
    assert found == values.split(', '), found


@then('operators see all {count:d} accepted')
def all_accepted(context: Any, count: int) -> None:
    """Count."""
    told = [one.text for one in context.subject.all if one.status == 0]
    assert len(told) == count, context.subject.all


@then('operators see {accepted:d} accepted and {lost:d} conflicts that name it')
def one_wins(context: Any, accepted: int, lost: int) -> None:
    """Compare what all heard."""
    winners = [one.body for one in context.subject.all if one.status == 0]
    losers = [one for one in context.subject.all if one.status == 3]
    assert (len(winners), len(losers)) == (accepted, lost), context.subject.all
    won = winners[0]['change_id']
    assert all(one.body['details']['other']['change_id'] == won for one in losers), losers


@then("operators see revision {revision:d} standing, with the winner's budget in its record")
def winner_stands(context: Any, revision: int) -> None:
    """Compare store, record and the winner."""
    assert context.subject.standing().revision == revision
    assert context.plays.budgets_agree(), context.subject.budget('atelier')


@then('operators see revision {revision:d} standing with {count:d} servers drained')
def drained(context: Any, revision: int, count: int) -> None:
    """Compare what stands."""
    standing = context.subject.standing()
    leaving = [server.name for server in standing.servers.values() if server.leaving]
    assert (standing.revision, len(leaving)) == (revision, count), (standing.revision, leaving)


@then('operators see a new router load the same from the store')
def loads_anew(context: Any) -> None:
    """Load without anything known."""
    assert context.subject.loaded_anew() == context.subject.standing()


@then('operators see at most {count:d} parts more than the head names')
def parts_left(context: Any, count: int) -> None:
    """Count the parts that still have a content."""
    kept = sum(context.subject.parts_kept())
    assert kept <= context.plays.parts_named() + count, kept


@then('operators see at most {count:d} parts more than the head names, emptied ones counted')
def keys_left(context: Any, count: int) -> None:
    """Count the keys."""
    kept = len(context.subject.parts_kept())
    assert kept <= context.plays.parts_named() + count, kept


@then('operators see the standing rule accepted, and each other verdict in conflict with it')
def rule_stands(context: Any) -> None:
    """Compare the rule and what all heard."""
    assert context.plays.undone() == [], context.plays.undone()


@then('operators see a declared budget of {tokens:d} for {account}')
def declared(context: Any, tokens: int, account: str) -> None:
    """Compare the budget's record."""
    found = context.subject.budget(account)['top_ups']['declared']
    assert found == tokens, found


@then('operators see {tokens:d} tokens paid in for {account}')
def paid_in(context: Any, tokens: int, account: str) -> None:
    """Compare the budget's record."""
    found = sum(context.subject.budget(account)['top_ups'].values())
    assert found == tokens, found


@then('operators see orders with the fences {fences}')
def fenced(context: Any, fences: str) -> None:
    """Compare the fencing numbers."""
    got = ', '.join(str(order.fence) for order in context.orders)
    assert got == fences, got


@then('operators see the sidecar got "{first}" and "{second}"')
def ordered(context: Any, first: str, second: str) -> None:
    """Compare the orders."""
    got = [f'{order.kind} {order.argument}' for order in context.orders]
    assert got == [first, second], got
