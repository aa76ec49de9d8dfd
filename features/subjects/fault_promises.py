"""The promises of the brief, checked on a scene that has come to rest."""

from collections.abc import Callable, Iterator

import msgspec

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.sentinels import NotHolder
from subjects.fault_scene import (
    ACCOUNT,
    BUDGET_TOKENS,
    CALLER_PATIENCE_S,
    REQUEST_KEY,
    Scene,
    Try,
)

Promise = Callable[[Scene], Iterator[str]]
promises: Registry[Promise] = Registry('promise')
ANSWER = 'hello0 hello1 hello2 hello3 hello4 hello5 hello6 hello7 '
ANSWER_TOKENS = 10
BOUND_TOKENS = 69
"""The worst case: billed where it can't be known what ran, since billing less could overspend."""


def broken(scene: Scene) -> list[str]:
    """Return every broken promise, in words."""
    return [f'{name}: {text}' for name in promises for text in promises.find(name)(scene)]


@promises.add('budget is never exceeded')
def not_overspent(scene: Scene) -> Iterator[str]:
    """Compare what engines worked and what was billed with what was paid in."""
    prompt_tokens = 2 * scene.arrivals()
    worked = sum(sum(engine.generated_tokens.values()) for engine in scene.engines.values())
    if worked + prompt_tokens > BUDGET_TOKENS:
        yield f'{worked + prompt_tokens} of {BUDGET_TOKENS} tokens were worked'
    budget = _budget(scene)
    if records.free_tokens(budget) < 0:
        yield f'{records.bound_tokens(budget)} of {BUDGET_TOKENS} tokens are bound'


@promises.add('request is billed exactly once')
def billed_once(scene: Scene) -> Iterator[str]:
    """Compare what the store knows as spent with the one bill of the request.

    After two faults tokens may still be stranded: they count as spent until it is
    proved what ran, so the bill is between what is known and that.
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
        yield f'{spent} tokens are spent without an answer, {most} at the most'


@promises.add('caller gets its whole answer and only that')
def whole_answer(scene: Scene) -> Iterator[str]:
    """Look at all that any try of the caller was given."""
    complete = [done for done in scene.tries if done.got.complete and done.got.status == 200]
    wrong = [done for done in complete if not _is_right(done, scene.stream)]
    for bad in wrong:
        yield f'{bad.router} gave {bad.got.body[:200]!r}'
    if scene.expected.single and not any(done.whole for done in scene.tries) and not scene.once:
        last = scene.tries[-1].got
        yield f'no whole answer in {len(scene.tries)} tries; the last: {last.status} {last.body!r}'


@promises.add('refused as not run means not run')
def truthful(scene: Scene) -> Iterator[str]:
    """Compare each "not run" with what engines had seen and saw of it later."""
    for index, done in enumerate(scene.tries):
        if b'"not_run":true' not in done.got.body:
            continue
        later = scene.tries[index + 1 :]
        seen_after = later[0].seen_before if later else scene.arrivals()
        if seen_after:
            yield f'try {index} at {done.router} was told "not run", engines saw {seen_after}'


@promises.add('what may not be repeated runs at most once')
def at_most_once(scene: Scene) -> Iterator[str]:
    """Count arrivals at all engines."""
    if scene.once and scene.arrivals() > 1:
        yield f'engines saw it {scene.arrivals()} times'


@promises.add('graceful stop cuts no request')
def not_cut(scene: Scene) -> Iterator[str]:
    """The first try has to succeed when nothing but a graceful stop happened."""
    if scene.expected.graceful and not scene.tries[0].whole:
        yield f'the first try got {scene.tries[0].got.status} {scene.tries[0].got.body!r}'


@promises.add('caller is not left waiting')
def in_time(scene: Scene) -> Iterator[str]:
    """A router that lives and isn't frozen answers before the caller hangs up."""
    if scene.expected.frozen:
        return
    for done in scene.tries:
        if done.ended_unix_s - done.began_unix_s >= CALLER_PATIENCE_S:
            yield f'{done.router} gave no answer'


@promises.add('configuration never reverts')
def no_reverts(scene: Scene) -> Iterator[str]:
    """Report incarnations whose revision went back."""
    for incarnation in sorted(set(scene.reverted)):
        yield f'{incarnation} went back'


@promises.add('no refusal without need')
def no_false_refusals(scene: Scene) -> Iterator[str]:
    """The budget and two engines always have room: the last try has to be answered."""
    last = scene.tries[-1]
    if scene.expected.single and not last.whole and not scene.once:
        yield f'the last of {len(scene.tries)} tries was refused: {last.got.body!r}'


@promises.add('books are balanced in the end')
def balanced(scene: Scene) -> Iterator[str]:
    """Nothing stays open at whoever holds the account once all is healed.

    A holder that was followed while it was frozen keeps its old table; nothing is
    reserved by it any more.
    """
    for name in scene.routers():
        router = scene.fleet.router(name)
        if isinstance(router.budgets.held(ACCOUNT), NotHolder):
            continue
        record = router.claims.find_record(REQUEST_KEY)
        if record is not None and record.state not in {'ended', 'refused'}:
            yield f'{name} still has it {record.state}'


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
