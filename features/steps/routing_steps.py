"""Steps of routing.feature."""

from typing import Any

import anyio
from behave import given, then, when

from endivesaddle.fleet.interfaces import Choice
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from subjects.routing import PREFIX, RoutingSubject

LONG_S = 600
LONG_PROMPT = 8000


@given('a routing over {engines:d} engines with {slots:d} slots each')
def start(context: Any, engines: int, slots: int) -> None:
    """Start a router's admission."""
    context.subject = RoutingSubject(engines, slots)
    context.add_cleanup(context.subject.close)


@when('routing places {count:d} prompts of one prefix, one after the other')
def place_same(context: Any, count: int) -> None:
    """Place and end one after the other."""
    subject = context.subject
    for _ in range(count):
        subject.run(subject.place(1, prefix_hashes=(PREFIX,)))
        subject.run(subject.end(1, after_s=1))


@then('routing has used {count:d} server')
def used(context: Any, count: int) -> None:
    """Count the servers."""
    assert len(context.subject.placed()) == count, context.subject.placed()


@when('routing hears that engine-0 is empty and the others have 1 request')
def report_lagging(context: Any) -> None:
    """Report as of five seconds ago."""
    subject = context.subject
    subject.run(subject.report('engine-0', age_s=5))
    for name in ('engine-1', 'engine-2'):
        subject.run(subject.report(name, age_s=5, running=1))
    # The mean of others is less than one request a server: two slots are still free.
    subject.run(subject.heard())


@when('routing hears that each server has {count:d} request')
def report_each(context: Any, count: int) -> None:
    """Report as of now."""
    subject = context.subject
    subject.run(anyio.sleep(1))
    for name in subject.view.configuration.servers:
        subject.run(subject.report(name, running=count))
    subject.run(subject.heard())


@when('routing places {count:d} prompts at once')
@then('routing places {count:d} prompts at once')
def place(context: Any, count: int) -> None:
    """Place without waiting."""
    context.subject.run(context.subject.place(count))


@when('routing places {count:d} short prompts at once')
def place_short(context: Any, count: int) -> None:
    """Place prompts that are read in 10 ms."""
    context.subject.run(context.subject.place(count, prompt_tokens=100))


@when('routing places {count:d} prompts of that prefix at once, twice')
def place_twice(context: Any, count: int) -> None:
    """Place twice, with no end in between."""
    subject = context.subject
    for _ in range(2):
        subject.run(subject.place(count, prefix_hashes=(PREFIX,), prompt_tokens=LONG_PROMPT))


@then('routing has placed {count:d} prompts on each server')
def placed_each(context: Any, count: int) -> None:
    """Count by server."""
    subject = context.subject
    names = subject.view.configuration.servers
    assert subject.placed() == dict.fromkeys(names, count), subject.placed()


@then('routing has placed {count:d} prompts on {server}')
def placed_on(context: Any, count: int, server: str) -> None:
    """Count on one server; with "since", after the play that came before."""
    name = server.removesuffix(' since')
    assert context.subject.placed()[name] == count, context.subject.placed()


@when('routing hears by {word} that {server} leaves')
def leaves(context: Any, word: str, server: str) -> None:
    """Tell of leaving in one way."""
    subject = context.subject
    if word == 'its sidecar':
        subject.view.left.add(f'beside {server}')
    elif word == 'its report':
        subject.run(subject.report(server, leaving=True))
    else:
        declared = subject.view.configuration.servers[server]
        subject.view.declare(declared._replace(leaving=True), server)
    subject.run(subject.heard())


@when('routing sees engine-3 declared and joined')
def join(context: Any) -> None:
    """Declare a server and let its sidecar join, in this same moment."""
    context.subject.view.add_engine('engine-3')


@when('routing is asked for a server beside engine-0, engine-1 and engine-2')
def ask_beside_all(context: Any) -> None:
    """Exclude the three servers that were there at first."""
    context.subject.run(context.subject.ask(('engine-0', 'engine-1', 'engine-2')))


@when('routing has learnt that answers take {seconds:g} seconds')
def learn(context: Any, seconds: float) -> None:
    """Have many answers take that long."""
    context.subject.run(context.subject.learn(seconds))
    # One under way: without any, old knowledge alone refuses nothing.
    context.subject.run(context.subject.place(1))


@when('routing is asked for an answer within {seconds:g} seconds')
def ask_within(context: Any, seconds: float) -> None:
    """Ask with a deadline."""
    subject = context.subject
    subject.run(subject.ask(within_s=seconds))


@then('routing refuses it as {code}, as not run, within 0 seconds')
def refused(context: Any, code: str) -> None:
    """Compare the refusal, which came at once."""
    refusal = context.subject.last
    assert isinstance(refusal, Refusal), refusal
    assert (refusal.code, refusal.not_run) == (code, NOT_RUN), refusal
    assert not context.subject.took_s, context.subject.took_s


@then('routing advises to retry after {low:g} to {high:g} seconds')
def advises(context: Any, low: float, high: float) -> None:
    """Compare the advice."""
    assert low <= context.subject.last.retry_after_s <= high, context.subject.last


@when('routing is full and {count:d} prompts wait')
def full_and_waiting(context: Any, count: int) -> None:
    """Take the slots that are left, and let more wait."""
    subject = context.subject
    subject.run(subject.place(5))
    subject.run(subject.wait_with(count))


@when('routing is full and an account has {count:d} prompts waiting')
def full_of_one(context: Any, count: int) -> None:
    """Let one account fill its line."""
    subject = context.subject
    subject.run(subject.fill())
    subject.run(subject.wait_with(count, within_s=LONG_S))


@when("routing lets another account's prompt wait")
def wait_small(context: Any) -> None:
    """Let the small account wait, last of all."""
    subject = context.subject
    subject.run(subject.wait_with(1, account='small', within_s=LONG_S))


@then("routing has placed the other account's prompt")
def placed_small(context: Any) -> None:
    """Look for the small account's outcome."""
    small = [each for key, each in context.subject.outcomes.items() if key.startswith('small')]
    assert small and isinstance(small[0], Choice), small


@when('routing is full and a prompt waits in vain')
def wait_in_vain(context: Any) -> None:
    """Let one wait until its deadline."""
    subject = context.subject
    subject.run(subject.fill())
    subject.run(subject.ask(within_s=5))
    assert isinstance(subject.last, Refusal), subject.last
    assert subject.last.not_run == NOT_RUN, subject.last


@when('routing hears that {count:d} answer ends')
@when('routing hears that {count:d} answers end')
def end(context: Any, count: int) -> None:
    """End the oldest runs."""
    context.subject.run(context.subject.end(count))


@when('routing hears that {count:d} answers end, one after the other')
def end_each(context: Any, count: int) -> None:
    """Place and end one after the other."""
    subject = context.subject
    for _ in range(count):
        subject.run(subject.place(1))
        subject.run(subject.end(1))


@then('routing has {count:d} requests under way')
def under_way(context: Any, count: int) -> None:
    """Count what the admission believes."""
    assert context.subject.under_way() == count, context.subject.admission.dump()


@when('routing places a waiting prompt whose caller goes away in that moment')
def cancelled(context: Any) -> None:
    """Cancel between the decision and its hearing."""
    context.subject.run(context.subject.fill())
    context.subject.run(context.subject.cancel_when_placed())


@when('routing has its whole queue full of prompts of low priority')
def full_queue(context: Any) -> None:
    """Fill the queue from nine accounts, each below its own bound."""
    subject = context.subject
    subject.run(subject.fill())
    for number in range(8):
        subject.run(subject.wait_with(64, account=f'a{number}', priority=0, within_s=LONG_S))


@when('routing lets a prompt of high priority wait')
def wait_high(context: Any) -> None:
    """Let one of another account wait."""
    subject = context.subject
    subject.run(subject.wait_with(1, account='small', priority=2, within_s=LONG_S))


@then('routing has placed the prompt of high priority')
def placed_high(context: Any) -> None:
    """Look for its outcome."""
    placed_small(context)


@then('routing has refused {count:d} prompt of low priority')
def refused_low(context: Any, count: int) -> None:
    """Count the refusals."""
    outcomes = context.subject.outcomes.values()
    assert sum(isinstance(each, Refusal) for each in outcomes) == count, outcomes


@when('routing is asked for {count:d} retries')
def ask_retries(context: Any, count: int) -> None:
    """Spend from the budget."""
    allowed = [context.subject.admission.may_retry('ateliers') for _ in range(count)]
    context.allowed = getattr(context, 'allowed', 0) + sum(allowed)


@then('routing has allowed {count:d} retries')
def allowed_retries(context: Any, count: int) -> None:
    """Compare the retries since the start."""
    assert context.allowed == count, context.allowed


@when('routing sees {count:d} runs fail on {server}')
def fail(context: Any, count: int, server: str) -> None:
    """Have runs fail on one server, or on each."""
    subject = context.subject
    names = list(subject.view.configuration.servers) if server == 'every server' else [server]
    for name in names:
        subject.run(subject.see_failures(name, count))


@when('{seconds:g} seconds pass for routing')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.subject.run(anyio.sleep(seconds))


@when('routing lets {count:d} prompts wait')
def wait_some(context: Any, count: int) -> None:
    """Let requests wait."""
    context.subject.run(context.subject.wait_with(count))


@when('routing hears that engine-0 is busier than the others')
def busier(context: Any) -> None:
    """Report one request there, and none elsewhere."""
    subject = context.subject
    for running, name in ((1, 'engine-0'), (0, 'engine-1'), (0, 'engine-2')):
        subject.run(subject.report(name, running=running, cache_event=1))
    subject.run(subject.heard())


@when('2 routers of one fleet see the same failures in the same moment')
def two_routers(context: Any) -> None:
    """Have the same failures at two routers."""
    subject = context.subject
    context.until = []
    for name in ('router-1', 'router-2'):
        subject.admission = subject.router(name)
        subject.run(subject.see_failures('engine-0', 2))
        state = subject.admission.dump()['servers']['engine-0']
        context.until.append(state['aside_until_unix_s'])


@then('routing has set the server aside until different moments')
def different(context: Any) -> None:
    """Compare the moments."""
    first, second = context.until
    assert first and second and first != second, context.until


@when('routing gets no first token from engine-0 for {seconds:g} seconds')
def hang(context: Any, seconds: float) -> None:
    """Leave one request there without an answer."""
    subject = context.subject
    others = frozenset(('engine-1', 'engine-2'))
    subject.run(subject.ask(others, within_s=LONG_S))
    subject.outcomes.clear()
    subject.run(anyio.sleep(seconds))


@when('routing sees {count:d} attempts that never ran')
def never_ran(context: Any, count: int) -> None:
    """Place and take back."""
    context.subject.run(context.subject.never_ran(count))


@then('routing still expects answers to take {seconds:g} seconds')
def expects(context: Any, seconds: float) -> None:
    """Compare what a shorter deadline gets."""
    subject = context.subject
    subject.run(subject.ask(within_s=seconds / 2))
    refused(context, 'deadline')


@when('routing has a run refused at once by engine-0')
def refused_there(context: Any) -> None:
    """Place one there, and have it end without having run."""
    subject = context.subject
    subject.run(subject.ask(('engine-1', 'engine-2')))
    subject.run(subject.refuse_at_once())


@when('routing is asked for {count:d} calls at once of a service that costs {tokens:d} tokens')
def call_service(context: Any, count: int, tokens: int) -> None:
    """Place calls of a plain service."""
    subject = context.subject
    subject.view.add_service('service-0', slots=count)
    subject.run(subject.heard())
    wanted = {'kind': 'service', 'service': 'labels', 'model': '', 'max_tokens': 0}
    subject.run(subject.place(count, prompt_tokens=tokens, **wanted))


@when('routing hears that engine-1 and engine-2 stand in another region')
def other_region(context: Any) -> None:
    """Declare two servers in a data centre of another region."""
    subject = context.subject
    for name in ('engine-1', 'engine-2'):
        declared = subject.view.configuration.servers[name]
        subject.view.declare(declared._replace(data_centre='aji-hall'), name)
    regions = {'porto-a': 'one', 'aji-hall': 'two'}
    subject.view.configuration = subject.view.configuration._replace(data_centres=regions)
    subject.run(subject.heard())


@when('routing loses the declaration of a server that runs a prompt')
def lose_declaration(context: Any) -> None:
    """Take a server out of the configuration while it works."""
    subject = context.subject
    subject.run(subject.place(1))
    subject.view.declare(None, subject.running[0][0].server)
    subject.run(subject.heard())


@when('routing hears of a prefix on engine-0, and of a gap in its events')
def gap(context: Any) -> None:
    """Report a prefix, then an event with a later number."""
    _hear_events(context.subject, 'engine-0', (5, 8))


@when('routing hears of a prefix on engine-0, and of events from 1 on again')
def restart(context: Any) -> None:
    """Report a prefix, then an event with an earlier number."""
    _hear_events(context.subject, 'engine-0', (5, 1))


@when('routing hears of the same prefix on engine-2')
def same_prefix(context: Any) -> None:
    """Report it on another server."""
    _hear_events(context.subject, 'engine-2', (1,))


def _hear_events(subject: RoutingSubject, server: str, numbers: tuple[int, ...]) -> None:
    """Hear reports with these event numbers; the prefix is in the first."""
    held = [PREFIX]
    for number in numbers:
        subject.run(subject.report(server, cache_event=number, cached_prefixes=held))
        subject.run(subject.heard())
        held = []
