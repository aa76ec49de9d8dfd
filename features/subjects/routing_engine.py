"""Subject: the fake engine with continuous batching."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.batching import BatchingEngine, EngineModel, Job

PROMPT = tuple(range(1, 33))


class RoutingEngine:
    """Runs scenarios on one engine in virtual time."""

    def __init__(self, model: EngineModel = EngineModel()) -> None:
        """Initialize with an idle engine without randomness."""
        self.engine = BatchingEngine('engine-0', model._replace(jitter=0), seed=1)
        self.clock = LoopClock()

    def play(self, play: Callable[[], Awaitable[Any]]) -> Any:
        """Run a scenario while the engine runs."""

        async def main() -> Any:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.engine.run)
                outcome = await play()
                tasks.cancel_scope.cancel()
            return outcome

        return virtual.run(main)

    def submit(self, tokens: int = 10, priority: int = 1, hashes: tuple[int, ...] = ()) -> Job:
        """Submit a request to the engine."""
        prompt_tokens = max(1, len(hashes)) * self.engine.model.block_tokens
        job = Job(prompt_tokens, tokens, priority, hashes)
        self.engine.submit(job)
        return job

    async def answer_s(self, count: int) -> float:
        """Return how long ``count`` concurrent responses take."""
        began_unix_s = self.clock.now_s()
        for job in [self.submit(tokens=100) for _ in range(count)]:
            await job.done.wait()
        return self.clock.now_s() - began_unix_s

    async def first_s(self, hashes: tuple[int, ...]) -> float:
        """Return the time to the first token."""
        began_unix_s = self.clock.now_s()
        job = self.submit(hashes=hashes)
        await job.first.wait()
        took_s = self.clock.now_s() - began_unix_s
        await job.done.wait()
        return took_s

    async def read_again(self) -> list[float]:
        """Process a prompt twice, and again after enough others to evict it."""
        took_s = [await self.first_s(PROMPT), await self.first_s(PROMPT)]
        for number in range(1, 60):
            await self.first_s(tuple(number * 1000 + block for block in PROMPT))
        return [*took_s, await self.first_s(PROMPT)]

    async def urgent_first(self) -> tuple[int, int]:
        """Return the steps in which a plain and an urgent request started."""
        for _ in range(self.engine.model.most_batch):
            self.submit(tokens=20)
        await anyio.sleep(0.01)
        plain = self.submit(priority=1)
        urgent = self.submit(priority=2)
        await plain.done.wait()
        await urgent.done.wait()
        return plain.first_step, urgent.first_step

    async def cancel_all(self) -> tuple[int, int]:
        """Cancel requests in decoding, in prefill and waiting; return the remaining counts."""
        jobs = [self.submit(tokens=500) for _ in range(4)]
        await jobs[-1].first.wait()
        jobs += [self.submit(tokens=500, hashes=PROMPT) for _ in range(60)]
        await anyio.sleep(0.1)
        assert self.engine.waiting and self.engine.running > 4
        for job in jobs:
            self.engine.cancel(job)
        await anyio.sleep(0.1)
        return self.engine.running, self.engine.waiting

    async def report_twice(self) -> list[int]:
        """Return the number of cached blocks in each of two reports."""
        await self.first_s(PROMPT)
        reports = [self.engine.load(self.clock.now_s()) for _ in range(2)]
        assert reports[0].cache_event == reports[1].cache_event == 1
        return [len(report.cached_prefixes) for report in reports]
