"""Measure the life of a request: processor time, bytes and memory of each.

Runs in virtual time over the links in memory, so that what is counted is the
fleet's own code, its messages' encoding included, and no network.  Prints one
JSON object.
"""

import json
import pathlib
import resource
import sys
import time
from types import MappingProxyType
from typing import Any

import anyio
import xxhash
from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'features'))

from endivesaddle.fleet.requests.table import PACK_AFTER_S  # noqa: E402
from endivesaddle.stand_ins import virtual  # noqa: E402
from subjects.requests_fleet import Fleet, fleet  # noqa: E402
from subjects.requests_holder_plays import bill_of, claim_of, note_of  # noqa: E402

REQUESTS = 3000
KEPT = 20_000
MICRO = 1_000_000
WAVE = 500
DAY_S = 86_400.0
SETTINGS = MappingProxyType({'max_records': 100_000, 'record_queue': 100_000})


def resident_bytes() -> int:
    """Return the memory of this process."""
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()


async def holder_us(running: Fleet, may_repeat: bool) -> float:
    """Return the microseconds that a holder spends on claim, note and settlement."""
    claims = running.routers['router-a1'].claims
    running.ledger.free_tokens = 1 << 40
    began_s = time.process_time()
    for number in range(REQUESTS):
        key = {'request_key': f'azulejo/{may_repeat}-{number}'}
        await claims.claim(claim_of(running, may_repeat=may_repeat, **key))
        await claims.note(note_of(1, 'sidecar-A', **key))
        await claims.settle(bill_of(1, 7, **key))
    return (time.process_time() - began_s) / REQUESTS * MICRO


async def sent_bytes(running: Fleet) -> dict[str, float]:
    """Return the bytes that one answered request sends between instances, by call."""
    count = REQUESTS // 100
    before = dict(running.net.sent_bytes)
    for number in range(count):
        await running.call('ana', 'router-a2', request_id=f'whole-{number}', named=False)
    return {
        path.rpartition('/')[2]: round((size - before.get(path, 0)) / count, 1)
        for path, size in running.net.sent_bytes.items()
    }


async def record_bytes(running: Fleet) -> tuple[float, float]:
    """Return the memory of a remembered request, and its bytes in the store."""
    claims = running.routers['router-a1'].claims
    running.ledger.free_tokens = 1 << 40
    before = resident_bytes()
    for number in range(KEPT):
        if not number % WAVE:
            # Long enough for what ended before to be written and packed.
            await anyio.sleep(PACK_AFTER_S)
        digest = xxhash.xxh3_128_hexdigest(str(number).encode())
        key = {'request_key': f'azulejo/{digest}', 'call_id': digest}
        await claims.claim(claim_of(running, **key))
        await claims.note(note_of(1, 'sidecar-A', **key))
        await claims.settle(bill_of(1, number % WAVE, **key))
    after = resident_bytes()
    stored = await running.store.list('records/', running.clock.now_s() + 1)
    newest = max(stored, key=lambda entry: entry.version).value or b''
    return (after - before) / KEPT, len(newest) / WAVE


async def measure() -> dict[str, Any]:
    """Measure everything on one fleet."""
    async with fleet(**SETTINGS, keep_s=DAY_S) as running:
        memory_bytes, stored_bytes = await record_bytes(running)
    async with fleet(**SETTINGS) as running:
        repeatable_us = await holder_us(running, may_repeat=True)
        once_us = await holder_us(running, may_repeat=False)
    async with fleet(**SETTINGS) as running:
        sent = await sent_bytes(running)
    return {
        'holder_us_may_repeat': round(repeatable_us, 1),
        'holder_us_once': round(once_us, 1),
        'sent_bytes_by_call': sent,
        'remembered_bytes': round(memory_bytes),
        'stored_bytes': round(stored_bytes),
    }


def main() -> int:
    """Print the figures."""
    logger.remove()
    print(json.dumps(virtual.run(measure), indent=2))
    return 0


if __name__ == '__main__':
    sys.exit(main())
