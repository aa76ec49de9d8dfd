"""Plays that send messages directly to one holder."""

from typing import Any

import anyio

from endivesaddle.wire import holders_pb2, rpcs
from subjects.requests_fleet import BOUND_TOKENS, Fleet
from subjects.requests_plays import KEY, PLAYS
from subjects.requests_plays_links import lose_first_reply

ACCOUNT = 'azulejo'
HOLDER = 'router-a1'


def claim_of(fleet: Fleet, **fields: Any) -> holders_pb2.ClaimRequest:
    """Return a claim with defaults for all fields that aren't given."""
    given = {
        'request_key': KEY, 'account': ACCOUNT, 'digest': 'd1', 'bound_tokens': BOUND_TOKENS,
        'may_repeat': True, 'first_attempt': True, 'router': 'router-a2', 'call_id': 'call-1',
        'deadline_unix_s': fleet.clock.now_s() + 60,
    }  # fmt: skip
    return holders_pb2.ClaimRequest(**{**given, **fields})


def note_of(attempt: int, sidecar: str, **fields: Any) -> holders_pb2.NoteRequest:
    """Return the note of a dispatch."""
    given = {
        'request_key': KEY, 'account': ACCOUNT, 'state': 'dispatched', 'attempt': attempt,
        'server': sidecar[-1], 'sidecar': sidecar, 'epoch': 1, 'call_id': 'call-1',
    }  # fmt: skip
    return holders_pb2.NoteRequest(**{**given, **fields})


def bill_of(attempt: int, tokens: int, **fields: Any) -> holders_pb2.SettleRequest:
    """Return a sidecar's settlement."""
    given = {
        'request_key': KEY, 'account': ACCOUNT, 'used_tokens': tokens, 'outcome': 'answered',
        'attempt': attempt, 'epoch': 1, 'data_centre': 'porto-a',
    }  # fmt: skip
    return holders_pb2.SettleRequest(**{**given, **fields})


@PLAYS.add('a request is settled repeatedly by router and sidecar')
async def settled_often(fleet: Fleet) -> None:
    """Settle for an older attempt, for the current one, and again with more usage."""
    claims = fleet.routers[HOLDER].claims
    await claims.claim(claim_of(fleet))
    await claims.note(note_of(1, 'sidecar-A'))
    await claims.note(note_of(2, 'sidecar-B'))
    late = await claims.settle(bill_of(1, 15))
    first = await claims.settle(bill_of(2, 7))
    again = await claims.settle(bill_of(2, 9, call_id='call-1'))
    fleet.notes['late attempt was accepted'] = int(late.settled)
    fleet.notes['first bill'] = first.billed_tokens
    fleet.notes['repeated bill'] = again.billed_tokens


@PLAYS.add('two routers dispatch the next attempt at the same time')
async def notes_race(fleet: Fleet) -> None:
    """Dispatch the same attempt to two servers."""
    claims = fleet.routers[HOLDER].claims
    await claims.claim(claim_of(fleet, may_repeat=False))
    lose_first_reply(fleet, 'router-b1', rpcs.COPY)
    accepted: list[str] = []

    async def note(sidecar: str) -> None:
        reply = await claims.note(note_of(1, sidecar))
        accepted.extend([sidecar] if reply.accepted else [])

    async with anyio.create_task_group() as group:
        group.start_soon(note, 'sidecar-A')
        group.start_soon(note, 'sidecar-B')
    again = await claims.note(note_of(2, 'sidecar-B'))
    copy = fleet.routers['router-b1'].claims.find_copy(KEY)
    fleet.notes['accepted'] = len(accepted)
    fleet.notes['copies of the accepted dispatch'] = int(
        copy is not None and [copy.sidecar] == accepted
    )
    fleet.notes['second dispatch accepted'] = int(again.accepted)


@PLAYS.add('two routers dispatch the next attempt of a request that may be repeated')
async def notes_race_repeatable(fleet: Fleet) -> None:
    """Dispatch the same attempt to two servers."""
    claims = fleet.routers[HOLDER].claims
    await claims.claim(claim_of(fleet))
    first = await claims.note(note_of(1, 'sidecar-A'))
    second = await claims.note(note_of(1, 'sidecar-B'))
    fleet.notes['accepted'] = int(first.accepted) + int(second.accepted)


@PLAYS.add('the epoch of a paused holder is sealed and the holder resumes')
async def paused_holder(fleet: Fleet) -> None:
    """Seal the epoch while the holder still assumes that it holds the shard."""
    claims = fleet.routers[HOLDER].claims
    granted = await claims.claim(claim_of(fleet))
    record = granted.record
    fleet.ledger.slow_s = 0.2
    waiting = []

    async def wait() -> None:
        waiting.append(await claims.claim(claim_of(fleet, request_key='azulejo/board-3')))

    fleet.group.start_soon(wait)
    await anyio.sleep(0.1)
    seal = holders_pb2.SealRequest(
        shard=record.shard, data_centre=record.data_centre, below_epoch=record.epoch + 1
    )
    reported = await claims.seal(seal)
    claimed = await claims.claim(claim_of(fleet, request_key='azulejo/board-2'))
    noted = await claims.note(note_of(1, 'sidecar-A'))
    await anyio.sleep(0.3)
    verdicts = [reply.verdict for reply in (claimed, *waiting)]
    fleet.notes['records reported'] = len(reported)
    fleet.notes['claims redirected after the seal'] = verdicts.count('not_holder')
    fleet.notes['dispatches accepted after the seal'] = int(noted.accepted)


@PLAYS.add('the table of a holder is full')
async def full(fleet: Fleet) -> None:
    """Claim one more request than the table has room for."""
    claims = fleet.routers[HOLDER].claims
    verdicts = []
    for number in range(fleet.settings.max_records + 1):
        reply = await claims.claim(claim_of(fleet, request_key=f'azulejo/{number}'))
        verdicts.append((reply.verdict, reply.code, reply.not_run))
    first = await claims.claim(claim_of(fleet, request_key='azulejo/0', call_id='call-2'))
    fleet.notes['granted'] = sum(verdict[0] == 'granted' for verdict in verdicts)
    fleet.notes['refused as full'] = verdicts.count(
        ('refused', 'too_many_requests_remembered', 'true')
    )
    fleet.notes['first request is still known'] = int(first.verdict == 'known')


@PLAYS.add('an ended request expires while a data centre is not visible')
async def grows_old(fleet: Fleet) -> None:
    """Check that a request expires only when all data centres are visible."""
    claims = fleet.routers[HOLDER].claims
    await claims.claim(claim_of(fleet))
    await claims.note(note_of(1, 'sidecar-A'))
    await claims.settle(bill_of(1, 7))
    hidden = [fleet.view.listed.pop(name) for name in ('router-b1', 'router-b2')]
    await anyio.sleep(fleet.settings.keep_s + 1)
    fleet.notes['records during the partition'] = int(claims.counters()['records'])
    for member in hidden:
        fleet.view.listed[member.address] = member
    await anyio.sleep(90)
    fleet.notes['records after the partition'] = int(claims.counters()['records'])


@PLAYS.add('a successor merges what ran under the sealed epoch')
async def adopts(fleet: Fleet) -> None:
    """Merge a run reported by a sidecar, and a claim that was never dispatched."""
    fleet.take_over('porto-a', 'router-a2', recovered=True)
    claims = fleet.routers['router-a2'].claims
    common: dict[str, Any] = {'account': ACCOUNT, 'digest': 'd1', 'shard': 7, 'epoch': 1}
    common['data_centre'] = 'porto-a'
    running = holders_pb2.Record(
        request_key=KEY, state='dispatched', attempt=1, sidecar='sidecar-A', **common
    )
    claimed = holders_pb2.Record(request_key='azulejo/claimed', state='claimed', **common)
    claims.adopt(7, [running, claimed], complete=True)
    retry = {'first_attempt': False, 'router': 'router-b2'}
    known = await claims.claim(claim_of(fleet, **retry))
    again = await claims.claim(claim_of(fleet, request_key='azulejo/claimed', **retry))
    fleet.notes['running request is known'] = int(known.verdict == 'known')
    fleet.notes['undispatched claim is granted again'] = int(again.verdict == 'granted')
    await claims.settle(bill_of(1, 6))
    record = (await claims.find(holders_pb2.FindRequest(request_key=KEY))).records[0]
    fleet.notes['usage of the old epoch'] = record.used_tokens


@PLAYS.add('a holder receives the settlement of an unknown request')
async def settled_unknown(fleet: Fleet) -> None:
    """Settle first without the full record, then with it."""
    claims = fleet.routers[HOLDER].claims
    bare = await claims.settle(bill_of(1, 6))
    record = holders_pb2.Record(
        request_key=KEY, account=ACCOUNT, state='ended', outcome='answered', attempt=1,
        epoch=1, data_centre='porto-a', used_tokens=6, digest='d1',
    )  # fmt: skip
    whole = await claims.settle(bill_of(1, 6, record=record))
    fleet.notes['settled without a record'] = int(bare.settled)
    fleet.notes['settled with a record'] = int(whole.settled)
    known = await claims.claim(claim_of(fleet, first_attempt=False))
    fleet.notes['known afterwards'] = int(known.verdict == 'known')
