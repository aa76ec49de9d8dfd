"""What a played trace has to show: the promises of the brief and its stated outcomes."""

import collections
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from endivesaddle.fleet.registry import Registry
from subjects.trace_firm import text_of
from subjects.trace_ledger import Ledger
from subjects.trace_lines import OutcomeLine
from subjects.trace_replay import Asked, Played

Check = Callable[[Played, Ledger], Iterator[str]]
checks: Registry[Check] = Registry('check of a trace')


class Figures(NamedTuple):
    """What a trace came to."""

    requests: int
    answered: int
    overspent_tokens: int
    false_refusals: int
    refusals: int
    false_refused_tries: int
    refused_tries: int
    outcomes: dict[str, int]
    tries: int
    runs_of_most: int
    billed_tokens: int
    stranded_tokens: int
    reserved_tokens: int
    settled_after_s: float
    cpu_s: float

    @property
    def answered_share(self) -> float:
        """Share of requests whose caller has a whole answer."""
        return self.answered / self.requests


def broken(played: Played) -> list[str]:
    """Return every broken promise and missed outcome, in words."""
    ledger = Ledger(played)
    return [f'{name}: {text}' for name in checks for text in checks.find(name)(played, ledger)]


def figures(played: Played) -> Figures:
    """Count what a trace came to."""
    ledger = Ledger(played)
    refused, tries = ledger.refused_requests(), ledger.refused_tries()
    outcomes = collections.Counter(asked.outcome for asked in played.asked)
    return Figures(
        requests=len(played.asked),
        answered=outcomes['answered'],
        overspent_tokens=_overspent(played, ledger),
        false_refusals=sum(one.false for one in refused),
        refusals=len(refused),
        false_refused_tries=sum(one.false for one in tries),
        refused_tries=len(tries),
        outcomes=dict(outcomes.most_common()),
        tries=sum(len(asked.tries) for asked in played.asked),
        runs_of_most=max(played.runs.values()),
        billed_tokens=sum(played.bills.values()),
        stranded_tokens=sum(played.stranded.values()),
        reserved_tokens=sum(played.reserved.values()),
        settled_after_s=played.settled_after_s,
        cpu_s=round(played.cpu_s, 1),
    )


@checks.add('budget is never exceeded')
def not_overspent(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare bills with what was paid in, at every moment, and ask the store."""
    for account in played.firm.accounts:
        if ledger.overspent_tokens(account):
            yield f'{account} by {ledger.overspent_tokens(account)} tokens'
        if played.free[account] < 0:
            yield f'{account} has {played.free[account]} free tokens in the store'


@checks.add('request is billed exactly once')
def billed_once(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare the request's record with the engine's usage."""
    for asked in played.asked:
        billed = played.bills.get(asked.request_key)
        cost = ledger.cost_tokens(asked)
        if asked.outcome == 'answered' and billed != cost:
            yield f'{asked.request_key} was billed {billed}, it cost {cost}'
        if not played.runs[asked.request_key] and billed:
            yield f'{asked.request_key} was billed {billed} and never ran'
        if billed and billed > ledger.bound_tokens(asked):
            yield f'{asked.request_key} was billed {billed}, above its bound'


@checks.add('store and records agree')
def store_agrees(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare what the store knows as spent with the sum of the bills.

    Where a lost holder's tokens are still stranded, or provisional bills wait for its
    successor to know all, some of the bills are among these.
    """
    for account, spent in played.spent.items():
        keys = [one.request_key for one in played.asked if one.line['account'] == account]
        billed = sum(played.bills.get(key, 0) for key in keys)
        pending = played.stranded[account] + played.reserved.get(account, 0)
        if not spent <= billed <= spent + pending:
            yield f'{account}: bills are {billed} tokens, the store says {spent}'


@checks.add('caller gets its whole answer and only that')
def whole_answer(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare every good answer with what this request has to get."""
    for asked in played.asked:
        for done in asked.tries:
            if done.outcome == 'answered' and not _is_own(asked, done.got, played):
                yield f'{asked.request_key} got {done.got.body[:200]!r} from {done.router}'


@checks.add('refused as not run means not run')
def truthful(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare each "not run" with what backend servers had seen by the next try."""
    for asked in played.asked:
        seen_after = [done.seen_before for done in asked.tries[1:]]
        seen_after.append(played.runs[asked.request_key])
        for done, seen in zip(asked.tries, seen_after, strict=True):
            if b'"not_run":true' in done.got.body and seen:
                yield f'{asked.request_key} at {done.router}, backend servers saw {seen}'


@checks.add('what may not be repeated runs at most once')
def at_most_once(played: Played, ledger: Ledger) -> Iterator[str]:
    """Count arrivals at backend servers."""
    for asked in played.asked:
        if asked.line['once'] and played.runs[asked.request_key] > 1:
            yield f'{asked.request_key} ran {played.runs[asked.request_key]} times'


@checks.add('configuration never reverts')
def no_reverts(played: Played, ledger: Ledger) -> Iterator[str]:
    """Report incarnations whose revision went back, and changes that never came through."""
    yield from sorted(set(played.reverted))
    yield from played.not_accepted


@checks.add('nothing stays open')
def all_ended(played: Played, ledger: Ledger) -> Iterator[str]:
    """Report requests whose record has no end when all is settled."""
    for asked in played.asked:
        state = played.states.get(asked.request_key, 'without a record')
        if asked.outcome == 'answered' and state != 'ended':
            yield f'{asked.request_key} was answered and is {state}'


@checks.add('stated outcomes')
def outcomes_hold(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare with the outcome lines."""
    asked = {one.request_key: one for one in played.asked}
    for line in played.trace.of('outcome'):
        yield from _against(line, asked[f'{line["account"]}/{line["key"]}'], played)


@checks.add('stated totals')
def totals_hold(played: Played, ledger: Ledger) -> Iterator[str]:
    """Compare with the last line of the trace."""
    found = figures(played)
    total: Any = played.trace.of('total')[0]
    if found.answered_share < total['answered_share_at_least']:
        yield f'{found.answered} of {found.requests} were answered: {found.outcomes}'
    if found.false_refusals > total['false_refusals_at_most']:
        yield f'{found.false_refusals} requests were refused without need'
    if found.false_refused_tries > total['false_refused_tries_at_most']:
        yield f'{found.false_refused_tries} tries were refused without need'
    if found.overspent_tokens != total['overspent_tokens']:
        yield f'{found.overspent_tokens} tokens were overspent'


def _against(line: OutcomeLine, asked: Asked, played: Played) -> Iterator[str]:
    key = asked.request_key
    if asked.outcome not in line['outcomes']:
        yield f'{key} came to {asked.outcome}, not {line["outcomes"]}: {_told(asked)}'
    if len(asked.tries) > line['attempts_at_most']:
        yield f'{key} took {len(asked.tries)} attempts: {_told(asked)}'
    if played.runs[key] > line['runs_at_most']:
        yield f'{key} ran {played.runs[key]} times'
    if asked.outcome == 'answered' and played.bills.get(key) != line['billed_tokens']:
        yield f'{key} was billed {played.bills.get(key)}, stated are {line["billed_tokens"]}'


def _told(asked: Asked) -> str:
    return ', '.join(
        f'{done.began_s:.1f}..{done.ended_s:.1f} s {done.router} {done.outcome}'
        for done in asked.tries
    )


def _overspent(played: Played, ledger: Ledger) -> int:
    return sum(ledger.overspent_tokens(account) for account in played.firm.accounts)


def _is_own(asked: Asked, got: Any, played: Played) -> bool:
    line = asked.line
    if 'method' in line:
        return bool(got.json()['plate'] == line['key'])
    tokens = min(line['max_tokens'], played.firm.answer_tokens)
    return text_of(got) == ''.join(f'{line["key"]}.{index} ' for index in range(tokens))
