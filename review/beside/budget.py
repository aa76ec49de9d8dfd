"""All workers of a service crash while streams of a tenant with a prepaid total are under way.

No case of the review, which has three at most: it repeats a figure of the report.
"""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))

import bed as beds

KEY = 'key-of-tenant-one'
PREPAID = 60_000
PROMPT = 800
EVENTS = 50
STRIDE = 6
STREAMS = 24
CRASH_AFTER_S = 1.2
DOWN_S = 4.5
REFUSALS = 3
RUNNING_S = 18.0
"""The routers have run for half a minute then, and may send a request again."""

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'caption',
            'host': 'app.example',
            'prefix': '/caption/',
            'kind': 'streaming',
            'timeout_ms': 12000,
            'goal_ms': 400,
            'priority': 0,
            'service': 'endive-llm',
            'max_attempts': 2,
            'public': False,
            'session_affinity': True,
            'stream_resume': True,
            'gap_aim_ms': 300,
        }
    ],
    'services': [
        {
            'name': 'endive-llm',
            'health_path': '/health',
            'max_conns': 370,
            'protocol': 'h1',
            'tls': False,
            'engine': {'slots': 64, 'kv_capacity': 708703, 'stride': STRIDE, 'models': []},
        }
    ],
    'tenants': [{'name': 'one', 'api_keys': [KEY], 'prepaid': PREPAID}],
}


async def stream(bed: beds.Bed, router: beds.Program, got: dict[str, beds.Answer]) -> beds.Answer:
    """Ask for one caption, and note what came of it."""
    name = bed.attempt_id()
    headers = {
        'Attempt-Id': name,
        'Authorization': f'Bearer {KEY}',
        'Model': 'm',
        'Token-Count': f'{PROMPT},{EVENTS * STRIDE}',
    }
    got[name] = await bed.send(router, 'POST', f'/caption/{name}', headers, 12000)
    return got[name]


async def body(bed: beds.Bed) -> bool:
    """Return whether the tenant got more than its prepaid total."""
    bed.configure(CONFIG)
    workers = [
        bed.add_worker('endive-llm', slots=64, queue=192, events=EVENTS, pause_ms=40)
        for _ in range(2)
    ]
    for number, worker in enumerate(workers):
        await worker.start(f'worker-{number}')
    routers = await bed.start(2, 1)
    await asyncio.sleep(RUNNING_S)
    got: dict[str, beds.Answer] = {}
    first = [bed.spawn(stream(bed, routers[number % 2], got)) for number in range(STREAMS)]
    await asyncio.sleep(CRASH_AFTER_S)
    if beds.TROUBLE:
        for worker in workers:
            worker.kill()
        await asyncio.sleep(DOWN_S)
        for number, worker in enumerate(workers):
            await worker.start(f'worker-{number}-again')
    await asyncio.gather(*first)
    # Ask on until the total is used up: refusals in a row, with the last tokens given back.
    refused = 0
    end = time.monotonic() + 60
    while refused < REFUSALS and time.monotonic() < end:
        answers = await asyncio.gather(*(stream(bed, router, got) for router in routers * 4))
        statuses = [one.status for one in answers]
        refused = refused + 1 if set(statuses) == {402} else 0
        await asyncio.sleep(1.0 if set(statuses) != {200} else 0)
    ran = {line['id'] for line in bed.worker_lines() if line['event'] == 'run'}
    prompts = PROMPT * len(ran)
    delivered = STRIDE * sum(one.body.count(b'\n\n') for one in got.values() if one.status == 200)
    bed.record_workers()
    statuses = collections.Counter(one.status for one in got.values())
    cut = sum(one.status == 200 and not one.whole for one in got.values())
    bed.record.said(f'sent {len(got)}, answered {dict(statuses)}, of these broken off {cut}')
    bed.record.said(f'requests that ran: {len(ran)}, prompt tokens: {prompts}')
    bed.record.said(f'output tokens delivered to the client: {delivered}')
    bed.record.said(f'the tenant got {prompts + delivered} tokens of {PREPAID} prepaid')
    if not statuses[402]:
        raise beds.CouldNotRun('the total was never used up')
    return prompts + delivered > PREPAID


beds.run(pathlib.Path(__file__).resolve().parent, body)
