"""Another writer leaves an entry under ``servers/`` that names no worker."""

import asyncio
import math
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))

import bed as beds

KEY = 'key-of-tenant-one'
DEPTH = 2000
ENTRY = b'{"previous":' * DEPTH + b'{}' + b'}' * DEPTH
"""An entry that lacks all fields, of a writer that puts its last entry into each new one.

It has 26,002 bytes of the 1,048,576 that a value may have."""
ROUTERS = 2
ENDS = 3
WATCH_S = 25.0

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'lookup',
            'host': 'app.example',
            'prefix': '/lookup/',
            'kind': 'safe',
            'timeout_ms': 1500,
            'goal_ms': 200,
            'priority': 2,
            'service': 'board-api',
            'max_attempts': 2,
            'public': False,
            'session_affinity': False,
            'stream_resume': False,
        }
    ],
    'services': [
        {
            'name': 'board-api',
            'health_path': '/health',
            'max_conns': 110,
            'protocol': 'h1',
            'tls': False,
        }
    ],
    'tenants': [{'name': 'one', 'api_keys': [KEY]}],
}


async def ask(bed: beds.Bed, router: beds.Program) -> bool:
    """Send one lookup; return whether it was served."""
    headers = {'Attempt-Id': bed.attempt_id(), 'Authorization': f'Bearer {KEY}'}
    answer = await bed.send(router, 'GET', '/lookup/1', headers, 1500)
    return answer.status == 200 and answer.whole and 'server-seal' in answer.headers


async def body(bed: beds.Bed) -> bool:
    """Return whether processes ended by themselves three times on a tenth of the machines."""
    bed.configure(CONFIG)
    for number in range(2):
        worker = bed.add_worker('board-api', slots=6, queue=24, work_ms=20)
        await worker.start(f'worker-{number}')
    routers = await bed.start(ROUTERS, 1)
    before = [await ask(bed, router) for router in routers for _ in range(5)]
    if not all(before):
        raise beds.CouldNotRun('lookups fail before the disruption')
    for program in bed.programs:
        program.ends.clear()
    if beds.TROUBLE:
        bed.store.put('servers/of-another-writer', ENTRY)
        bed.record.line(f'another writer puts servers/of-another-writer, {len(ENTRY)} bytes')
    served = []
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        served.extend(await asyncio.gather(*(ask(bed, router) for router in routers)))
        await asyncio.sleep(0.25)
    for router in routers:
        bed.record.said(f'{router.name} ended by itself {len(router.ends)} times: {router.ends}')
    bed.record.said(f'served {sum(served)} of {len(served)} lookups after it')
    bed.record_workers()
    most = max(2, math.ceil(len(bed.programs) / 10))
    return sum(len(program.ends) >= ENDS for program in bed.programs) >= most


beds.run(pathlib.Path(__file__).resolve().parent, body)
