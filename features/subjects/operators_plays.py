"""What several operators do at once, and what may be said of it afterwards."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.operators.declarations.tables import repeat_rule
from endivesaddle.wire.holders_pb2 import Record, Step
from subjects.operators import OperatorsSubject, Told, apply_line
from subjects.operators_store import WriteFault


class OperatorsPlays(NamedTuple):
    """Plays of several operators on one subject."""

    subject: OperatorsSubject

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.subject.do(anyio.sleep(seconds))

    def parts_named(self) -> int:
        """Return how many parts the standing configuration has."""
        return len(revisions.parts_of(self.subject.standing()))

    def tidy_late(self, first: str, second: str) -> None:
        """Have the first change's tidying come between the second's parts and its head."""
        self.subject.all = self.subject.do(self._tidy_late(first, second))

    def load_late(self, lines: Sequence[str]) -> int:
        """Load anew; commands are run while the parts are read.  Return the revision."""
        return self.subject.do(self._load_late(lines))

    def race_budgets(self, count: int) -> None:
        """Apply budgets that differ, all against revision 1."""
        self.subject.race(
            [
                (apply_line(f'1_000_000 => {1000 + place}', 1), f'a-{place}')
                for place in range(count)
            ]
        )

    def budgets_agree(self) -> bool:
        """Tell whether the winner's budget stands, in the configuration and the record."""
        places = [place for place, told in enumerate(self.subject.all) if told.status == 0]
        declared = self.subject.budget('atelier')['top_ups']['declared']
        standing = self.subject.standing().accounts['atelier'].budget_tokens
        return declared == standing == 1000 + places[0]

    def cross_budgets(self, first: int, second: int) -> None:
        """Apply two budgets, the first of which is written two seconds late."""
        self.subject.store.faults.append(('budgets/', WriteFault.SLOW))
        heard = self.subject.do(self._cross(first, second))
        assert [told.status for told in heard] == [0, 0], heard

    def lower_while_granted(self, change: str, tokens: int) -> None:
        """Apply against revision 1; a holder is granted tokens while the head is written."""
        self.subject.store.faults.append(('configuration/head', WriteFault.SLOW))
        self.subject.last = self.subject.do(self._lower(change, tokens))

    def know_in_parts(self, one: int, other: int, key: str) -> None:
        """Have one router know a request's begin and another its end."""
        at_unix_s = self.subject.clock.now_s()
        begun = Record(
            request_key=key, account='atelier', state='dispatched', bound_tokens=2000,
            claimed_unix_s=at_unix_s, attempt=1, server='porto-a/llm-1', epoch=4,
            data_centre='porto-a',
        )  # fmt: skip
        ended = Record()
        ended.CopyFrom(begun)
        ended.MergeFrom(Record(state='ended', outcome='answered', used_tokens=1200))
        for place, name in enumerate(('claimed', 'dispatched')):
            begun.steps.append(Step(at_unix_s=at_unix_s + place, name=name))
        ended.steps.append(begun.steps[1])
        ended.steps.append(Step(at_unix_s=at_unix_s + 9, name='settled'))
        self.subject.routers[one].records.append(begun)
        self.subject.routers[other].records.append(ended)

    def know_refused(self, router: int, key: str, data_centre: str) -> None:
        """Have a router know a claim that was refused."""
        refused = Record(request_key=key, account='atelier', state='refused')
        refused.data_centre = data_centre
        self.subject.routers[router].records.append(refused)

    def undone(self) -> list[Told]:
        """Return accepted changes of the rule whose verdict doesn't stand."""
        standing = self.subject.standing().repeat_rules
        verdicts = ('never', 'caller')
        stand = [
            (repeat_rule(verdicts[place % 2], service='records', method='POST'),) == standing
            for place in range(len(self.subject.all))
        ]
        assert len(standing) == 1, standing
        return [
            told
            for told, stands in zip(self.subject.all, stand, strict=True)
            if (told.status == 0) != stands
        ]

    async def _tidy_late(self, first: str, second: str) -> list[Told]:
        store = self.subject.store
        services = [router.service for router in self.subject.routers]
        store.late_reads.append(('list', revisions.PARTS_PREFIX))
        tidying = asyncio.create_task(services[0].command('ines', first, 'first'))
        await anyio.sleep(0.5)
        store.faults.append((revisions.HEAD_KEY, WriteFault.SLOW))
        told = await services[1].command('ines', second, 'second')
        return [Told(*await tidying), Told(*told)]

    async def _load_late(self, lines: Sequence[str]) -> int:
        fresh = self.subject.fresh_router().desk
        # All parts: those that change are among them.
        parts = len(revisions.parts_of(await self.subject.load()))
        late = ('read', revisions.PARTS_PREFIX)
        self.subject.store.late_reads.extend(late for _ in range(parts))
        loading = asyncio.create_task(fresh.configurations.load(fresh.deadline_unix_s()))
        await anyio.sleep(0.5)
        for line in lines:
            await self.subject.routers[0].service.command('ines', line, '')
        return (await loading).configuration.revision

    async def _lower(self, change: str, tokens: int) -> Told:
        service = self.subject.routers[0].service
        lowering = asyncio.create_task(service.command('ines', apply_line(change, 1), 'a-1'))
        await anyio.sleep(1)
        await self.subject.granted('atelier', tokens)
        return Told(*await lowering)

    async def _cross(self, first: int, second: int) -> list[Told]:
        service = self.subject.routers[0].service
        early = asyncio.create_task(
            service.command('ines', apply_line(f'1_000_000 => {first}', 1), 'a-1')
        )
        await anyio.sleep(1)
        late = await self.subject.routers[1].service.command(
            'ines', apply_line(f'1_000_000 => {second}', 2), 'a-2'
        )
        return [Told(*await early), Told(*late)]
