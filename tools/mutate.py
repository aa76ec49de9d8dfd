"""Switch off one safeguard at a time, and show which cells of the fault matrix then fail.

A cell proves something only if it fails without the safeguard that it tests.
Prints a table for docs/FAULTS.md; exits 1 where a safeguard can be switched off
unnoticed.  Each safeguard is replaced in memory, in a process of its own.
"""

import contextlib
import pathlib
import sys
from collections.abc import Callable
from concurrent import futures
from typing import Any, NamedTuple
from unittest import mock

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from loguru import logger

from endivesaddle.daemon.router import Router
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.shard_manager import ShardManager
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.requests.following import Follower
from endivesaddle.fleet.requests.retry_marks import RetryMarks
from endivesaddle.fleet.requests.retry_queries import RetryQuerier, RetryQueryResult
from endivesaddle.fleet.requests.table import Entry
from endivesaddle.fleet.runs.drain import Drain
from endivesaddle.fleet.runs.runs import Runs
from endivesaddle.fleet.runs.shelf import Shelf
from endivesaddle.stand_ins.memory_peers import MemoryPeers
from subjects.fault_matrix import Cell, cells, play

WORKERS = 4


class Instead(NamedTuple):
    """What stands in the place of a safeguard."""

    place: type
    attribute: str
    value: Any


class Safeguard(NamedTuple):
    """A safeguard, in one place or in several, and the cells to play without it."""

    instead: tuple[Instead, ...]
    words: tuple[str, ...]


Make = Callable[[], Safeguard]
safeguards: Registry[Make] = Registry('safeguard')


@safeguards.add('a sidecar runs a request key at most once')
def run_once() -> Safeguard:
    """Accept each START anew."""
    start = Runs.start

    async def forgetful(self: Runs, message: Any) -> Any:
        with mock.patch.object(Shelf, 'find', lambda *_: None):
            return await start(self, message)

    return Safeguard(
        (Instead(Runs, 'start', forgetful),), ('messages of router come twice / start is asked',)
    )


@safeguards.add('a retry asks the other data centres')
def ask_others() -> Safeguard:
    """Take it that no other data centre knows the request."""

    async def nobody(*_: Any) -> RetryQueryResult:
        return RetryQueryResult()

    return Safeguard(
        (Instead(RetryQuerier, 'query_all', nobody),),
        ('router dies / ', 'caller retries elsewhere / '),
    )


@safeguards.add('the question leaves a mark for a late first attempt')
def marks() -> Safeguard:
    """Never find a mark."""
    return Safeguard((Instead(RetryMarks, 'marked', lambda *_: False),), ('held up',))


@safeguards.add('a bill is settled once')
def settle_once() -> Safeguard:
    """Bill again with each report: both the claim and the ledger forget that it is settled."""
    settle = Ledger.settle

    def again(self: Ledger, request_key: str, used_tokens: int, now_unix_s: float) -> int | None:
        ended = self.ended.get(request_key)
        if ended is not None:
            self.reserve(request_key, used_tokens, ended.batch)
        return settle(self, request_key, used_tokens, now_unix_s)

    return Safeguard(
        (Instead(Ledger, 'settle', again), Instead(Entry, 'open', True)),
        ('messages of router come twice / settlement',),
    )


@safeguards.add('an answer that falls silent is followed anew')
def silence() -> Safeguard:
    """Wait for good on a silent stream."""
    follow = MemoryPeers.follow

    def patient(self: MemoryPeers, address: str, message: Any, _: float) -> Any:
        return follow(self, address, message, 10_000)

    return Safeguard(
        (Instead(MemoryPeers, 'follow', patient),), ('sidecar falls silent to router / answer',)
    )


@safeguards.add('chunks are taken by their offset')
def offsets() -> Safeguard:
    """Take each chunk as it comes, also one that was taken before."""

    def take(self: Follower, chunk: Any) -> bytes:
        self.head = self.head or chunk.head
        self.offset_bytes += len(chunk.data)
        self.end = chunk.end if chunk.HasField('end') else None
        return bytes(chunk.data)

    return Safeguard((Instead(Follower, '_take', take),), ('chunks of sidecar come twice / ans',))


@safeguards.add('a stopping router waits for its requests')
def router_drain() -> Safeguard:
    """Stop at once."""
    return Safeguard(
        (Instead(Router, '_busy', lambda _: False),), ('router is told to stop / answer',)
    )


@safeguards.add('a stopping sidecar waits for its runs')
def sidecar_drain() -> Safeguard:
    """Stop at once."""
    return Safeguard(
        (Instead(Drain, '_holds_up', lambda *_: False),), ('sidecar is told to stop / answer',)
    )


@safeguards.add('a shard that lost the store looks at it again')
def look_again() -> Safeguard:
    """Look only when there is something to write."""
    is_stale = ShardManager._is_stale

    def idle(self: ShardManager, held: Any, now_unix_s: float) -> bool:
        return held.reachable and is_stale(self, held, now_unix_s)

    return Safeguard(
        (Instead(ShardManager, '_is_stale', idle),), ('store is down / claim is asked',)
    )


def failures(name: str) -> list[str]:
    """Return the cells that fail with one safeguard switched off."""
    logger.remove()
    safeguard = safeguards.find(name)()
    with contextlib.ExitStack() as off:
        for place, attribute, value in safeguard.instead:
            off.enter_context(mock.patch.object(place, attribute, value))
        chosen = [cell for cell in cells() if any(word in cell.name for word in safeguard.words)]
        return [cell.name for cell in chosen if _fails(cell)]


def _fails(cell: Cell) -> bool:
    try:
        return bool(play(cell).broken)
    except Exception:
        return True


def main() -> int:
    """Switch off each safeguard and print what failed."""
    names = list(safeguards)
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        found = dict(zip(names, pool.map(failures, names), strict=True))
    print('| safeguard switched off | cells that then fail | the first |\n|---|---|---|')
    for name, failed in found.items():
        print(f'| {name} | {len(failed)} | {failed[0] if failed else "none"} |')
    return int(not all(found.values()))


if __name__ == '__main__':
    sys.exit(main())
