"""The cells of the fault matrix, and the code that plays a cell."""

import itertools
import random
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_fleet import open_fleet
from subjects.fault_promises import broken
from subjects.fault_scene import Expected, Scene, Try
from subjects.fault_tables import STEPS, faults

GRACEFUL = ('router is told to stop', 'sidecar is told to stop')


class Cell(NamedTuple):
    """One fault at one step, for one kind of request."""

    step: str
    fault: str
    unrepeatable: bool
    stream: bool

    @property
    def name(self) -> str:
        """The name of the cell in docs/FAULTS.md."""
        return f'{self.fault} / {self.step} / {kind_name(self.unrepeatable, self.stream)}'


class Pair(NamedTuple):
    """Two faults at two steps of one request, the first one first."""

    first: Cell
    second: Cell

    @property
    def name(self) -> str:
        """The name of the pair, from those of its cells."""
        return f'{self.first.name} + {self.second.fault} / {self.second.step}'


class Result(NamedTuple):
    """The result of a cell; ``outcomes`` has one entry for each try of the caller."""

    cell: Cell | Pair
    broken: list[str]
    outcomes: tuple[str, ...]
    arrivals: int
    injected: bool


def kind_name(unrepeatable: bool, stream: bool) -> str:
    """Return the name of a kind of request."""
    repeated = 'unrepeatable' if unrepeatable else 'repeatable'
    return f'{repeated} {"streamed" if stream else "whole"}'


def cells() -> Iterator[Cell]:
    """Yield all cells, without those whose step doesn't exist for their kind of request."""
    kinds = itertools.product((False, True), (False, True))
    for (unrepeatable, stream), fault, step in itertools.product(kinds, faults, STEPS):
        if STEPS[step].exists(unrepeatable, stream):
            yield Cell(step, fault, unrepeatable, stream)


def pairs(count: int, seed: int) -> list[Pair]:
    """Draw pairs of cells, both of one kind of request, the second at a later step."""
    draw = random.Random(seed)
    order = list(STEPS)
    by_kind: dict[str, list[Cell]] = {}
    for cell in cells():
        by_kind.setdefault(kind_name(cell.unrepeatable, cell.stream), []).append(cell)
    found: list[Pair] = []
    while len(found) < count:
        first, second = draw.sample(draw.choice(list(by_kind.values())), 2)
        if order.index(first.step) < order.index(second.step):
            found.append(Pair(first, second))
    return found


def play_named(kind: str, *injections: tuple[str, str]) -> Result:
    """Play a pair of (fault, step) names for one named kind of request."""
    chosen = [
        cell
        for fault, step in injections
        for cell in cells()
        if (cell.fault, cell.step, kind_name(cell.unrepeatable, cell.stream)) == (fault, step, kind)
    ]
    return play(Pair(*chosen))


def play_row(fault: str, kind: str) -> list[Result]:
    """Play a fault at every step, for one named kind of request."""
    chosen = (cell for cell in cells() if cell.fault == fault)
    return [play(cell) for cell in chosen if kind_name(cell.unrepeatable, cell.stream) == kind]


def play(cell: Cell | Pair) -> Result:
    """Play one cell or a pair in virtual time."""
    parts = (cell,) if isinstance(cell, Cell) else (cell.first, cell.second)
    return virtual.run(lambda: _play(cell, parts))


async def _play(cell: Cell | Pair, parts: Sequence[Cell]) -> Result:
    async with open_fleet() as fleet:
        scene = Scene(fleet, parts[0].unrepeatable, parts[0].stream)
        single = len(parts) == 1
        scene.expected = Expected(
            single=single,
            graceful=single and parts[0].fault in GRACEFUL,
            paused=any(part.fault == 'router pauses' for part in parts),
        )
        await scene.open()
        for part in parts:
            scene.inject_at(STEPS[part.step], faults.find(part.fault))
        await scene.play()
        outcomes = tuple(_outcome(done) for done in scene.tries)
        return Result(cell, broken(scene), outcomes, scene.arrivals(), scene.injected_all)


def _outcome(done: Try) -> str:
    if done.whole:
        return 'answered'
    if not done.got.complete:
        return 'connection broke'
    return done.got.code or str(done.got.status)
