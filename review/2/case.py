"""A router gets SIGHUP, as its settings file has changed, while it stops gracefully."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))

import bed as beds

KEY = 'key-of-tenant-one'
SAVES = 6
CAPTIONS = 6
WORK_MS = 3000
EVENTS = 60
PAUSE_MS = 50
HUP_AFTER_S = 1.0
GRACE_S = 8.0
EXCUSED_AFTER_S = GRACE_S * 5 / 6
"""Not counted: the worker was still at work in the last sixth of ``grace_s``."""
TIMEOUT_S = 12.0
"""Not counted: the deadline or the route's timeout was reached; both are the same here."""

ROUTE = {
    'host': 'app.example',
    'goal_ms': 400,
    'priority': 1,
    'max_attempts': 1,
    'public': False,
    'session_affinity': False,
    'stream_resume': False,
    'timeout_ms': int(TIMEOUT_S * 1000),
}
SERVICE = {'health_path': '/health', 'max_conns': 110, 'protocol': 'h1', 'tls': False}
CONFIG = {
    'version': 7,
    'routes': [
        {**ROUTE, 'name': 'save', 'prefix': '/save/', 'kind': 'unsafe', 'service': 'board-api'},
        {
            **ROUTE,
            'name': 'caption',
            'prefix': '/caption/',
            'kind': 'streaming',
            'service': 'endive-llm',
            'gap_aim_ms': 300,
        },
    ],
    'services': [{**SERVICE, 'name': 'board-api'}, {**SERVICE, 'name': 'endive-llm'}],
    'tenants': [{'name': 'one', 'api_keys': [KEY]}],
}


async def body(bed: beds.Bed) -> bool:
    """Return whether a request that was passed on to a worker got no complete answer."""
    bed.configure(CONFIG)
    for number in range(2):
        plain = bed.add_worker('board-api', slots=6, queue=24, work_ms=WORK_MS)
        await plain.start(f'plain-{number}')
        model = bed.add_worker('endive-llm', slots=64, queue=192, events=EVENTS, pause_ms=PAUSE_MS)
        await model.start(f'model-{number}')
    # One of four machines gets SIGHUP: a share of 0.25.
    routers = await bed.start(2, 2)
    leaving = routers[0]
    answers: dict[str, beds.Answer] = {}
    times: dict[str, tuple[float, float]] = {}

    async def ask(path: str) -> None:
        name = bed.attempt_id()
        headers = {'Attempt-Id': name, 'Authorization': f'Bearer {KEY}'}
        began = time.monotonic()
        answers[name] = await bed.send(leaving, 'POST', path, headers, int(TIMEOUT_S * 1000))
        times[name] = (began, time.monotonic())

    paths = [f'/save/{number}' for number in range(SAVES)]
    paths += [f'/caption/{number}' for number in range(CAPTIONS)]
    asking = [bed.spawn(ask(path)) for path in paths]
    await asyncio.sleep(0.5)
    leaving.process.send_signal(signal.SIGTERM)
    terminated = time.monotonic()
    bed.record.line(f'{leaving.name} gets SIGTERM')
    await asyncio.sleep(HUP_AFTER_S)
    if beds.TROUBLE:
        leaving.write_settings()
        leaving.process.send_signal(signal.SIGHUP)
        bed.record.line(f'the settings file of {leaving.name} has changed; it gets SIGHUP')
    await asyncio.gather(*asking)
    ran = {line['id'] for line in bed.worker_lines() if line['event'] == 'run'}

    def counts(name: str) -> bool:
        began, ended = times[name]
        excused = ended - terminated >= EXCUSED_AFTER_S or ended - began >= TIMEOUT_S
        return not answers[name].whole and not excused

    lost = sorted(filter(counts, ran))
    bed.record_workers()
    # The process ends by itself once it has stopped; the platform starts it again.
    for _ in range(100):
        if leaving.ends:
            break
        await asyncio.sleep(0.1)
    bed.record.said(f'sent {len(answers)}, of these passed on to a worker {len(ran)}')
    bed.record.said(f'{leaving.name} ended with {leaving.ends}')
    bed.record.said(f'passed on, and without a complete answer: {lost}')
    if len(ran) < len(paths):
        raise beds.CouldNotRun('not all requests reached a worker before SIGTERM')
    return bool(lost)


beds.run(pathlib.Path(__file__).resolve().parent, body)
