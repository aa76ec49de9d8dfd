"""A fake engine that batches continuously, for routing to be measured against.

One step at a time: up to a chunk of prompt tokens is read, and every request
past its prompt gets one token.  A step takes longer with more requests in the
batch and more prompt tokens in it, so a full engine slows everyone's tokens.
Prompt blocks stay in a limited cache, least recently used first out.  All
figures are in ``EngineModel``; randomness is seeded.
"""

import heapq
from collections.abc import Callable, Sequence
from itertools import chain
from random import Random
from typing import NamedTuple

import anyio

from endivesaddle.stand_ins.batching_cache import BlockCache
from endivesaddle.wire import runs_pb2


class EngineModel(NamedTuple):
    """The engine's figures: those of an engine set up to keep 27 ms between tokens.

    With ``slots`` requests and a full chunk a step takes 25.6 ms; ``most_batch`` lets
    in more, which a router that doesn't keep to the slots pays for.
    """

    step_s: float = 0.012
    step_for_request_s: float = 0.0003
    prefill_tokens_per_s: float = 40000
    chunk_tokens: int = 256
    slots: int = 24
    most_batch: int = 48
    block_tokens: int = 128
    cache_blocks: int = 600
    jitter: float = 0.03


class Job:
    """One request on the engine; ``tokens`` is the length its answer will have."""

    def __init__(
        self, prompt_tokens: int, tokens: int, priority: int, hashes: Sequence[int]
    ) -> None:
        """Make a request with the hashes of its prompt's growing prefixes."""
        self.prompt_tokens = prompt_tokens
        self.tokens = tokens
        self.priority = priority
        self.hashes = hashes
        self.cached_tokens = 0
        self.left_tokens = 0
        self.first_step = 0
        self.cancelled = False
        self.first = anyio.Event()
        self.done = anyio.Event()


Entry = tuple[int, int, Job]


class BatchingEngine:
    """The engine; ``run`` has to run while it works."""

    def __init__(
        self,
        name: str,
        model: EngineModel,
        seed: int,
        on_step: Callable[[float, int], None] = lambda step_s, requests: None,
    ) -> None:
        """Make an idle engine; ``on_step(seconds, requests)`` hears of every token step."""
        self.name = name
        self.model = model
        self.cache = BlockCache(model.cache_blocks)
        self.slowness = 1.0
        self.leaving = False
        self.died = anyio.Event()
        self._on_step = on_step
        self._random = Random(f'{name}/{seed}')
        self._arrivals = 0
        self._step = 0
        self._waiting: list[Entry] = []
        self._prefilling: list[Entry] = []
        self._ending: list[Entry] = []
        self._woken = anyio.Event()
        self._cache_event = 0
        self._step_s = model.step_s

    @property
    def running(self) -> int:
        """Count the requests in the batch."""
        return len(self._prefilling) + len(self._ending)

    @property
    def waiting(self) -> int:
        """Count the requests that wait for a place in the batch."""
        return len(self._waiting)

    def submit(self, job: Job) -> None:
        """Take a request; its events tell of its first token and its end."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (-job.priority, self._arrivals, job))
        self._woken.set()

    def could_end_s(self, prompt_tokens: int, tokens: int, hashes: Sequence[int]) -> float:
        """Return how long a request would take with a full batch; infinite without a free slot.

        Only for judging decisions afterwards: no router knows this.
        """
        if self.died.is_set() or self.leaving or self.running + self.waiting >= self.model.slots:
            return float('inf')
        model = self.model
        step_s = model.step_s + model.step_for_request_s * model.slots
        step_s = self.slowness * (step_s + model.chunk_tokens / model.prefill_tokens_per_s)
        queued = chain(self._waiting, self._prefilling)
        backlog = sum(job.left_tokens or job.prompt_tokens for _, _, job in queued)
        uncached = prompt_tokens - self.cache.depth(hashes) * model.block_tokens
        return ((backlog + uncached) / model.chunk_tokens + 1 + tokens) * step_s

    def cancel(self, job: Job) -> None:
        """Stop working on a request; its place is free with the next step."""
        job.cancelled = True
        self._waiting = _without_cancelled(self._waiting)
        self._prefilling = _without_cancelled(self._prefilling)
        self._ending = _without_cancelled(self._ending)

    async def run(self) -> None:
        """Work, step by step, until cancelled."""
        while True:
            if not self.running and not self._waiting:
                self._woken = anyio.Event()
                await self._woken.wait()
            self._admit()
            read, finished = self._read()
            model = self.model
            took_s = model.step_s + model.step_for_request_s * len(self._ending)
            took_s += read / model.prefill_tokens_per_s
            took_s *= self.slowness * (1 + model.jitter * self._random.uniform(-1, 1))
            await anyio.sleep(took_s)
            if self.died.is_set():
                await anyio.sleep_forever()
            self._advance(took_s, finished)

    def load(self, at_unix_s: float) -> runs_pb2.Load:
        """Return a load report with the cache's changes since the last one."""
        changed = bool(self.cache.added or self.cache.evicted)
        self._cache_event += changed
        report = runs_pb2.Load(
            server=self.name,
            at_unix_s=at_unix_s,
            running=self.running,
            waiting=self.waiting,
            seconds_per_token=self._step_s,
            cache_used_blocks=len(self.cache),
            cached_prefixes=sorted(self.cache.added),
            evicted_prefixes=sorted(self.cache.evicted),
            cache_event=self._cache_event,
        )
        self.cache.added.clear()
        self.cache.evicted.clear()
        return report

    def _admit(self) -> None:
        """Move waiting requests into the batch, the most urgent first."""
        while self._waiting and self.running < self.model.most_batch:
            entry = heapq.heappop(self._waiting)
            job = entry[2]
            cached = self.cache.depth(job.hashes) * self.model.block_tokens
            job.cached_tokens = min(cached, job.prompt_tokens - 1)
            job.left_tokens = job.prompt_tokens - job.cached_tokens
            heapq.heappush(self._prefilling, entry)

    def _read(self) -> tuple[int, list[Job]]:
        """Read up to a chunk of prompts; return tokens read and prompts finished."""
        budget = self.model.chunk_tokens
        finished: list[Job] = []
        while self._prefilling and budget:
            job = self._prefilling[0][2]
            read = min(budget, job.left_tokens)
            budget -= read
            job.left_tokens -= read
            if not job.left_tokens:
                heapq.heappop(self._prefilling)
                finished.append(job)
        return self.model.chunk_tokens - budget, finished

    def _advance(self, took_s: float, finished: list[Job]) -> None:
        """End a step: a token for each request, first tokens, ended answers."""
        self._step += 1
        self._step_s += (took_s - self._step_s) / 10
        if len(self._ending):
            self._on_step(took_s, len(self._ending))
        for job in finished:
            if job.cancelled:
                continue
            self.cache.hold(job.hashes)
            job.first_step = self._step
            job.first.set()
            self._arrivals += 1
            heapq.heappush(self._ending, (self._step + job.tokens - 1, self._arrivals, job))
        while self._ending and self._ending[0][0] <= self._step:
            heapq.heappop(self._ending)[2].done.set()


def _without_cancelled(entries: list[Entry]) -> list[Entry]:
    left = [entry for entry in entries if not entry[2].cancelled]
    heapq.heapify(left)
    return left
