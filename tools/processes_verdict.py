"""Check what callers were told against what the backend servers saw, and the bills."""

import math
from collections import Counter, defaultdict
from typing import Any, NamedTuple

import anyio
from processes_fleet import BUDGETS, SERVICE_COST, Fleet

PROMPT_TOKENS = 4
TOKENS = 40
ASK_TOGETHER = 16
SETTLED_S = 12
LOOK_S = 1.0
MOST_TOLD = 12
EXHAUSTED = 'budget_exhausted'


class Seen(NamedTuple):
    """A run at a backend server: when it arrived, and what it generated (None: not known)."""

    at_unix_s: float
    server: str
    ended_unix_s: float
    tokens: int | None


def runs_of(fleet: Fleet) -> dict[str, list[Seen]]:
    """Return the runs by request key, from what the stand-ins printed."""
    runs: dict[str, list[Seen]] = defaultdict(list)
    for name in ('engines', 'doomed engine'):
        for line in fleet.stand_ins[name].lines:
            kind, *words = line.split()
            if kind == 'seen':
                runs[words[2]].append(Seen(float(words[0]), words[1], math.inf, None))
            elif kind == 'ended':
                found = runs[words[2]]
                index = next(
                    place
                    for place, run in enumerate(found)
                    if run.server == words[1] and run.tokens is None
                )
                found[index] = found[index]._replace(
                    ended_unix_s=float(words[0]), tokens=int(words[3])
                )
    return runs


async def tell_verdict(fleet: Fleet, asked: list[Any], faults: list[tuple[float, str]]) -> None:
    """Print each promise with the number of times it was broken, and how."""
    for at_unix_s, what in faults:
        print(f'  {at_unix_s:.3f} {what}')
    runs = runs_of(fleet)
    tell('answers that differ from what the engine gives', [one for one in asked if _wrong(one)])
    tell('"not run" although it ran', [one for one in asked if _lied(one, runs)])
    twice = [one for one in asked if one.kind == 'service' and len(_runs(one, runs)) > 1]
    tell('calls that may not be repeated run twice', twice)
    tell_lost(asked)
    tell_attempts(asked, runs)
    tell_stops(fleet, asked)
    await tell_bills(fleet, asked, runs)


def tell(what: str, broken: list[Any]) -> None:
    """Print how often a promise was broken, and the first of the stories."""
    print(f'{what}: {len(broken)}')
    for one in broken[:MOST_TOLD]:
        print(f'  {one.account}/{one.key} {one.kind}')
        for attempt in one.attempts:
            print(f'    {attempt._replace(text=attempt.text[-60:])}')


def tell_lost(asked: list[Any]) -> None:
    """Print what was not answered in the end, and why."""
    lost = [one for one in asked if _last(one)[0] != 'answered']
    causes = Counter(_last(one) for one in lost)
    print(f'not answered in the end: {len(lost)} {dict(causes)}')
    tell('of these not for want of tokens', [one for one in lost if _last(one)[1] != EXHAUSTED])


def tell_attempts(asked: list[Any], runs: dict[str, list[Seen]]) -> None:
    """Print how attempts ended, and how often requests ran."""
    attempts = Counter(
        (attempt.outcome, attempt.code, str(attempt.not_run))
        for one in asked
        for attempt in one.attempts
    )
    for (outcome, code, not_run), count in attempts.most_common():
        print(f'  {count} attempts {outcome} {code} not_run={not_run}')
    print(f'runs per request: {dict(Counter(len(_runs(one, runs)) for one in asked))}')


def tell_stops(fleet: Fleet, asked: list[Any]) -> None:
    """Print how the processes ended that were told to stop, and what broke there."""
    stopped = next(one for one in fleet.routers if one.name == 'router-porto-c-1')
    sidecar = fleet.sidecars['llm-2']
    for running in (stopped, sidecar):
        drained = len(running.events('process_drained'))
        print(f'{running.name}: exit status {running.exit_status}, drained events {drained}')
    cut = [one for one in asked if _cut_at(stopped.name, one)]
    tell('attempts broken at the router that was told to stop (whole time)', cut)


async def tell_bills(fleet: Fleet, asked: list[Any], runs: dict[str, list[Seen]]) -> None:
    """Compare the bills with the answers, and the engines' work with the budgets."""
    records: dict[str, int] = {}
    limit = anyio.CapacityLimiter(ASK_TOGETHER)
    async with anyio.create_task_group() as group:
        for request in asked:
            group.start_soon(_ask_bill, fleet, request, records, limit)
    answered = [one for one in asked if _last(one)[0] == 'answered']
    wrong = [one for one in answered if records.get(f'{one.account}/{one.key}') != _cost(one)]
    tell('answered with another bill than one answer costs', wrong)
    for told in wrong[:MOST_TOLD]:
        key = f'{told.account}/{told.key}'
        print(f'  {key}: billed {records.get(key)}, costs {_cost(told)}, ran {_runs(told, runs)}')
    for account in BUDGETS:
        await _tell_account(fleet, account, asked, runs, records)


async def _tell_account(
    fleet: Fleet,
    account: str,
    asked: list[Any],
    runs: dict[str, list[Seen]],
    records: dict[str, int],
) -> None:
    own = [one for one in asked if one.account == account]
    answers = sum(_cost(one) for one in own if _last(one)[0] == 'answered')
    billed = sum(records.get(f'{account}/{one.key}', 0) for one in own)
    used = sum(_used(one, run) for one in own for run in _runs(one, runs))
    budget: dict[str, int] = {}
    with anyio.move_on_after(SETTLED_S):
        while budget.get('spent_tokens') != billed:
            reply = await fleet.command(f'account {account}')
            budget = reply['details'].get('budget', {})
            await anyio.sleep(LOOK_S)
    over = max(0, used - BUDGETS[account])
    print(
        f'account {account}: answers cost {answers}, records bill {billed}, backend servers'
        f' used {used}, overspend {over}; the store has {budget}'
    )


async def _ask_bill(
    fleet: Fleet, one: Any, records: dict[str, int], limit: anyio.CapacityLimiter
) -> None:
    # Each question reads the store, and each router has its own share of the store's rate.
    routers = [router for router in fleet.routers if not router.ended]
    router = routers[hash(one.key) % len(routers)]
    async with limit:
        reply = await fleet.command(f'request id:{one.key} account:{one.account}', router)
    record = reply.get('details', {}).get('record')
    if record is not None:
        records[f'{one.account}/{one.key}'] = record['used_tokens']


def _cut_at(router: str, one: Any) -> bool:
    return any(
        attempt.router == router
        and attempt.outcome in {'broken', 'error event'}
        and attempt.code not in {'ConnectError', 'ConnectTimeout'}
        for attempt in one.attempts
    )


def _runs(one: Any, runs: dict[str, list[Seen]]) -> list[Seen]:
    return runs.get(f'{one.account}/{one.key}', [])


def _cost(one: Any) -> int:
    return SERVICE_COST if one.kind == 'service' else PROMPT_TOKENS + TOKENS


def _used(one: Any, run: Seen) -> int:
    if one.kind == 'service':
        return SERVICE_COST
    # An engine that was killed can't tell: at most all of the answer.
    generated = TOKENS if run.tokens is None else run.tokens
    return PROMPT_TOKENS + generated


def _last(one: Any) -> tuple[str, str, str]:
    if not one.attempts:
        return ('none', '', '')
    last = one.attempts[-1]
    return (last.outcome, last.code, str(last.not_run))


def _wrong(one: Any) -> bool:
    """Tell whether an answer is not the engine's, or a part is no beginning of it."""
    wanted = one.wanted()
    whole = [attempt for attempt in one.attempts if attempt.outcome == 'answered']
    parts = [attempt for attempt in one.attempts if attempt.outcome != 'answered']
    differ = any(attempt.text != wanted for attempt in whole)
    return differ or not all(wanted.startswith(attempt.text) for attempt in parts)


def _lied(one: Any, runs: dict[str, list[Seen]]) -> bool:
    """Tell whether a "not run" came although a server had seen the request by then."""
    starts = [attempt.began_unix_s for attempt in one.attempts[1:]]
    return any(
        attempt.not_run is True and any(run.at_unix_s < again for run in _runs(one, runs))
        for attempt, again in zip(one.attempts, [*starts, math.inf], strict=True)
    )
