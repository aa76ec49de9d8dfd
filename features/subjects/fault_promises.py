"""The promises that the fleet must keep under faults, checked on an idle scene."""

from collections.abc import Callable, Iterator

import msgspec

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.sentinels import NotHolder
from subjects.fault_scene import (
    ACCOUNT,
    BUDGET_TOKENS,
    CALLER_TIMEOUT_S,
    REQUEST_KEY,
    Scene,
    Try,
)

Promise = Callable[[Scene], Iterator[str]]
promises: Registry[Promise] = Registry('promise')
ANSWER = 'hello0 hello1 hello2 hello3 hello4 hello5 hello6 hello7 '
ANSWER_TOKENS = 10
BOUND_TOKENS = 69
"""The worst case, billed if it is unknown what ran: billing less could overspend the budget."""


def broken(scene: Scene) -> list[str]:
    """Return a description of every broken promise."""
    return [f'{name}: {text}' for name in promises for text in promises.find(name)(scene)]


@promises.add('budget is never exceeded')
def not_overspent(scene: Scene) -> Iterator[str]:
    """Compare the tokens that engines processed, and those bound, with the budget."""
    prompt_tokens = 2 * scene.arrivals()
    generated = sum(sum(engine.generated_tokens.values()) for engine in scene.engines.values())
    if generated + prompt_tokens > BUDGET_TOKENS:
        yield f'{generated + prompt_tokens} of {BUDGET_TOKENS} tokens were processed'
    budget = _budget(scene)
    if records.free_tokens(budget) < 0:
        yield f'{records.bound_tokens(budget)} of {BUDGET_TOKENS} tokens are bound'


@promises.add('request is billed exactly once')
def billed_once(scene: Scene) -> Iterator[str]:
    """Compare the tokens recorded as spent in the store with the one bill of the request.

    After two faults, tokens may still be stranded: they count as spent until it is proved
    what ran. The bill then lies between the known spending and that with stranded tokens.
    """
    budget = _budget(scene)
    spent = records.known_spent_tokens(budget)
    stranded = 0 if scene.expected.single else sum(one.ceiling for one in budget['stranded'])
    if any(done.whole for done in scene.tries):
        if not spent <= ANSWER_TOKENS <= spent + stranded:
            yield f'{spent} tokens are spent, the answer cost {ANSWER_TOKENS}'
        return
    unknown = any(b'"not_run":"unknown"' in done.got.body for done in scene.tries)
    most = BOUND_TOKENS if scene.arrivals() or unknown else 0
    if spent > most:
        yield f'{spent} tokens are spent without an answer, at most {most} are allowed'


@promises.add('caller gets its whole answer and only that')
def whole_answer(scene: Scene) -> Iterator[str]:
    """Check every complete answer that a try of the caller got."""
    complete = [done for done in scene.tries if done.got.complete and done.got.status == 200]
    wrong = [done for done in complete if not _is_right(done, scene.stream)]
    for bad in wrong:
        yield f'{bad.router} returned {bad.got.body[:200]!r}'
    if (
        scene.expected.single
        and not any(done.whole for done in scene.tries)
        and not scene.unrepeatable
    ):
        last = scene.tries[-1].got
        yield f'no whole answer in {len(scene.tries)} tries; the last: {last.status} {last.body!r}'


@promises.add('refused as not run means not run')
def truthful(scene: Scene) -> Iterator[str]:
    """Check that engines did not receive a request before or after a "not run"."""
    for index, done in enumerate(scene.tries):
        if b'"not_run":true' not in done.got.body:
            continue
        later = scene.tries[index + 1 :]
        seen_after = later[0].seen_before if later else scene.arrivals()
        if seen_after:
            yield f'try {index} at {done.router} got "not run", engines received it {seen_after}'


@promises.add('what may not be repeated runs at most once')
def at_most_once(scene: Scene) -> Iterator[str]:
    """Count how often engines received the request."""
    if scene.unrepeatable and scene.arrivals() > 1:
        yield f'engines received it {scene.arrivals()} times'


@promises.add('graceful stop cuts no request')
def not_cut(scene: Scene) -> Iterator[str]:
    """Check that the first try succeeds if the only fault is a graceful stop."""
    if scene.expected.graceful and not scene.tries[0].whole:
        yield f'the first try got {scene.tries[0].got.status} {scene.tries[0].got.body!r}'


@promises.add('caller is not left waiting')
def in_time(scene: Scene) -> Iterator[str]:
    """Check that a router that is not paused answers before the caller's timeout."""
    if scene.expected.paused:
        return
    for done in scene.tries:
        if done.ended_unix_s - done.began_unix_s >= CALLER_TIMEOUT_S:
            yield f'{done.router} gave no answer'


@promises.add('configuration never reverts')
def no_reverts(scene: Scene) -> Iterator[str]:
    """Check that no instance returned to an older revision within one incarnation."""
    for incarnation in sorted(set(scene.reverted)):
        yield f'{incarnation} returned to an older revision'


@promises.add('no refusal without need')
def no_false_refusals(scene: Scene) -> Iterator[str]:
    """Check that the last try is answered, as the budget and two engines have room."""
    last = scene.tries[-1]
    if scene.expected.single and not last.whole and not scene.unrepeatable:
        yield f'the last of {len(scene.tries)} tries was refused: {last.got.body!r}'


@promises.add('books are balanced in the end')
def balanced(scene: Scene) -> Iterator[str]:
    """Check that no claim stays open at the holder of the account after the repair.

    A holder that was replaced while it was paused keeps its old table, but nothing is
    reserved by it any more.
    """
    for name in scene.routers():
        router = scene.fleet.router(name)
        if isinstance(router.budgets.held(ACCOUNT), NotHolder):
            continue
        record = router.claims.find_record(REQUEST_KEY)
        if record is not None and record.state not in {'ended', 'refused'}:
            yield f'{name} still has the request in state {record.state}'


def _budget(scene: Scene) -> records.Budget:
    raw = scene.fleet.store._kept[records.key_of(shard_of(ACCOUNT))].value
    assert raw is not None
    return record_format.decode(raw)['budgets'][ACCOUNT]


def _is_right(done: Try, stream: bool) -> bool:
    if not stream:
        answer = msgspec.json.decode(done.got.body)
        return bool(answer['choices'][0]['message']['content'] == ANSWER)
    events = done.got.body.decode().split('\n\n')
    if any('"error"' in event for event in events):
        return True
    texts = [_text(event) for event in events if event.startswith('data: {')]
    return ''.join(texts) == ANSWER and 'data: [DONE]' in events


def _text(event: str) -> str:
    choices = msgspec.json.decode(event.removeprefix('data: ')).get('choices', ())
    return ''.join(choice.get('delta', {}).get('content', '') for choice in choices)
