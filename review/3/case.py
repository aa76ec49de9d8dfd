"""A worker that is full sends its refusal a second time, where the next answer is expected."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))

import bed as beds

KEY = 'key-of-tenant-one'
CLIENTS = 50
LOAD_S = 38.0
GARBLE_AT_S = (2.0, 11.0, 20.0, 29.0)
GARBLE_S = 5.0
GARBLE_X = 0.03
PROMISES = (408, 421, 429, 503)

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'save',
            'host': 'app.example',
            'prefix': '/save/',
            'kind': 'unsafe',
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


async def save(bed: beds.Bed, router: beds.Program, path: str, answers: dict) -> beds.Answer:
    """Send one client attempt."""
    name = bed.attempt_id()
    headers = {'Attempt-Id': name, 'Authorization': f'Bearer {KEY}'}
    answers[name] = await bed.send(router, 'POST', path, headers, 1500)
    return answers[name]


async def client(
    bed: beds.Bed, router: beds.Program, number: int, end: float, answers: dict
) -> None:
    """Send one save after the other; one that is refused as not run is sent once more."""
    count = 0
    while time.monotonic() < end:
        count += 1
        path = f'/save/{number}-{count}'
        answer = await save(bed, router, path, answers)
        if answer.status in PROMISES:
            await asyncio.sleep(min(0.5, float(answer.headers.get('retry-after', 0))))
            await save(bed, router, path, answers)


async def body(bed: beds.Bed) -> bool:
    """Return whether an unsafe request was answered as not run, and ran."""
    bed.configure(CONFIG)
    workers = []
    for number in range(2):
        worker = bed.add_worker(
            'board-api', slots=6, queue=4, work_ms=45, garble_x=GARBLE_X, seed=number
        )
        await worker.start(f'worker-{number}')
        workers.append(worker)
    routers = await bed.start(2, 1)
    answers: dict[str, beds.Answer] = {}
    end = time.monotonic() + LOAD_S
    clients = [
        bed.spawn(client(bed, routers[number % 2], number, end, answers))
        for number in range(CLIENTS)
    ]
    began = time.monotonic()
    for at_s in GARBLE_AT_S if beds.TROUBLE else ():
        await asyncio.sleep(began + at_s - time.monotonic())
        workers[0].garble(GARBLE_S)
        bed.record.line(f'worker-0 spoils {GARBLE_X} of its answers for {GARBLE_S} s')
    await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    lines = bed.worker_lines()
    runs = collections.Counter(line['id'] for line in lines if line['event'] == 'run')
    extras = [line['answer'] for line in lines if line['event'] == 'extra']
    twice = sorted(name for name, count in runs.items() if count > 1)
    refused = sorted(name for name, one in answers.items() if one.status in PROMISES and runs[name])
    saves = collections.Counter(line['path'] for line in lines if line['event'] == 'run')
    bed.record_workers()
    statuses = collections.Counter(one.status for one in answers.values())
    declined = sum(line['event'] == 'declined' for line in lines)
    bed.record.said(f'sent {len(answers)}, answered {dict(statuses)}, declined {declined}')
    bed.record.said(f'second answers: {dict(collections.Counter(extras))}')
    bed.record.said(f'ran more than once: {twice}')
    bed.record.said(f'answered as not run, and ran: {refused}')
    bed.record.said(f'saves that ran more than once: {[one for one, n in saves.items() if n > 1]}')
    if not statuses[200] or not declined:
        raise beds.CouldNotRun('nothing was served, or nothing declined')
    return bool(refused)


beds.run(pathlib.Path(__file__).resolve().parent, body)
