"""What goes wrong during a run of the routing bench, and how its reports lag."""

from types import MappingProxyType
from typing import TYPE_CHECKING

import anyio

from endivesaddle.stand_ins.batching import BatchingEngine
from endivesaddle.wire import runs_pb2

if TYPE_CHECKING:
    from endivesaddle.stand_ins.batching_bench import Bench

FAULTS = (
    'steady',
    'bursts',
    'slow',
    'dead',
    'leaving',
    'events_lost',
    'reports_late',
    'store_down',
    'oracle',
)
"""What a run may suffer; ``oracle`` is none: one router that knows all, to find the capacity.

``store_down``: one server dies and the list of members doesn't change any more."""
FAULT_AT_S = 15.0
REPORT_EVERY_S = 1.0
REPORT_LAG_S = 0.3
ORACLE_EVERY_S = 0.05
LAGS_S = MappingProxyType({'reports_late': 5.0, 'oracle': 0.0})
WORD_OF_IT_S = 0.5
"""Until routers hear that a server leaves."""
SUSPECT_AFTER_S = 3.0
GONE_AFTER_S = 10.0
SLOWNESS = 3.0
VICTIM = 'engine-1'
LOST_EVERY = 2
"""Every so many-th load report loses its cache events when events are lost."""


class Faults:
    """Brings load reports to the routers, and one fault about."""

    def __init__(self, bench: 'Bench') -> None:
        """Work on a bench's engines and view."""
        self._bench = bench
        self._fault = bench.run.fault

    async def run(self) -> None:
        """Report and break until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number, engine in enumerate(self._bench.engines.values()):
                tasks.start_soon(self._report, engine, number)
            await anyio.sleep(FAULT_AT_S)
            await self._break(self._bench.engines[VICTIM])

    async def _break(self, engine: BatchingEngine) -> None:
        view = self._bench.view
        if self._fault == 'slow':
            engine.slowness = SLOWNESS
        if self._fault == 'leaving':
            engine.leaving = True
            await anyio.sleep(WORD_OF_IT_S)
            view.mark(engine.name, 'leaving')
        if self._fault in {'dead', 'store_down'}:
            engine.died.set()
        if self._fault == 'dead':
            await anyio.sleep(SUSPECT_AFTER_S)
            view.mark(engine.name, 'suspect')
            await anyio.sleep(GONE_AFTER_S - SUSPECT_AFTER_S)
            view.mark(engine.name, 'gone')

    async def _report(self, engine: BatchingEngine, number: int) -> None:
        """Send load reports, each a little later than the next engine's."""
        await anyio.sleep(REPORT_EVERY_S * number / len(self._bench.engines))
        lag_s = LAGS_S.get(self._fault, REPORT_LAG_S)
        every_s = ORACLE_EVERY_S if self._fault == 'oracle' else REPORT_EVERY_S
        async with anyio.create_task_group() as deliveries:
            sent = 0
            while not engine.died.is_set():
                load = engine.load(self._bench.clock.now_s())
                sent += 1
                if self._fault == 'events_lost' and sent % LOST_EVERY == 0:
                    load.ClearField('cached_prefixes')
                    load.ClearField('evicted_prefixes')
                    load.ClearField('cache_event')
                deliveries.start_soon(self._deliver, load, lag_s)
                await anyio.sleep(every_s)

    async def _deliver(self, load: runs_pb2.Load, lag_s: float) -> None:
        await anyio.sleep(lag_s)
        self._bench.view.hear(load)
