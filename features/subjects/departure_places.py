"""The places where a request may be when its caller leaves, and the ways in which callers leave."""

import time
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import NamedTuple

import anyio

from subjects.departed_callers import (
    BODY,
    LARGE_BODY,
    UNREAD_LIMIT_S,
    DepartedCallers,
    RawCaller,
    Setting,
)

BUSY_S = 1.5

Reach = Callable[[DepartedCallers, RawCaller], Awaitable[None]]
Proceed = Callable[[DepartedCallers], None]


class Place(NamedTuple):
    """One place: how a request gets there, and what lets it go on.

    ``sent_count`` is how often the request has reached a server by then.
    """

    setting: Setting
    reach: Reach
    proceed: Proceed
    sent_count: int = 0


async def _unread(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request())


async def _reading(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request()[: -len(BODY) // 2])
    await anyio.sleep(0.05)


async def _budget(subject: DepartedCallers, caller: RawCaller) -> None:
    subject.budget.close()
    caller.send(subject.request())
    await subject.budget.reached.wait()


async def _lacking(subject: DepartedCallers, caller: RawCaller) -> None:
    subject.allocator.growing = True
    caller.send(subject.request())
    assert await subject.until(lambda: subject.allocator.draw_count)


async def _slot(subject: DepartedCallers, caller: RawCaller) -> None:
    subject.fill()
    caller.send(subject.request())
    assert await subject.until(subject.waiting)


async def _admission(subject: DepartedCallers, caller: RawCaller) -> None:
    subject.admission.close()
    caller.send(subject.request())
    await subject.admission.reached.wait()


async def _connecting(subject: DepartedCallers, caller: RawCaller) -> None:
    subject.connecting.close()
    caller.send(subject.request())
    await subject.connecting.reached.wait()


async def _sent(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request())
    assert await subject.until(subject.arrived)


async def _after_loss(subject: DepartedCallers, caller: RawCaller) -> None:
    """Wait until the router checks whether the server that broke off still listens."""
    subject.connecting.close()
    caller.send(subject.request())
    await subject.connecting.reached.wait()


async def _streaming(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request())
    assert await subject.until(lambda: b'two' in caller.receive())


async def _flooding(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request())
    assert await subject.until(subject.arrived)
    # By then the sockets on the way are full.
    await anyio.sleep(0.3)


async def _clogged(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request(LARGE_BODY))
    assert await subject.until(lambda: subject.server.connected_count)
    await anyio.sleep(0.1)


async def _refused(subject: DepartedCallers, caller: RawCaller) -> None:
    caller.send(subject.request(LARGE_BODY, 'unknown')[: -len(LARGE_BODY) // 2])
    await anyio.sleep(0.05)


def _nothing(_: DepartedCallers) -> None:
    """Nothing holds the request."""


def _open_budget(subject: DepartedCallers) -> None:
    subject.budget.open()


def _count_draws(subject: DepartedCallers) -> None:
    subject.noticed_draw_count = subject.allocator.draw_count


def _free_slot(subject: DepartedCallers) -> None:
    subject.free()


def _admit(subject: DepartedCallers) -> None:
    subject.admission.open()


def _connect(subject: DepartedCallers) -> None:
    subject.connecting.open()


def _repeat(subject: DepartedCallers) -> None:
    subject.repeated = subject.caller()
    subject.repeated.send(subject.request())


PLACES: MappingProxyType[str, Place] = MappingProxyType(
    {
        'unread': Place(Setting(), _unread, _nothing),
        'reading': Place(Setting(), _reading, _nothing),
        'budget': Place(Setting(), _budget, _open_budget),
        'budget, drawn ahead': Place(Setting(supply='ahead'), _budget, _open_budget),
        'lacking tokens': Place(Setting(), _lacking, _count_draws),
        'slot': Place(Setting(waiting='fair'), _slot, _free_slot),
        'admission': Place(Setting(), _admission, _admit),
        'connecting': Place(Setting(connected=False), _connecting, _connect),
        'sent': Place(Setting(), _sent, _nothing, 1),
        'sent unsafe': Place(Setting('unsafe'), _sent, _nothing, 1),
        'retrying': Place(Setting(script=('drop', 'hold')), _after_loss, _connect, 1),
        'streaming': Place(Setting('streamed', ('stream',)), _streaming, _nothing, 1),
        'flooding': Place(Setting('streamed', ('flood',)), _flooding, _nothing, 1),
        'clogged': Place(Setting(reading=False), _clogged, _nothing),
        'refused': Place(Setting(), _refused, _nothing),
        'repeated': Place(Setting(script=('hold', 'answer')), _sent, _repeat, 2),
        'resuming': Place(Setting('resumable', ('break_off', 'hold')), _after_loss, _connect, 1),
    }
)


async def _closes(subject: DepartedCallers, caller: RawCaller, place: Place) -> None:
    """Close, and let the request go on when the router had time to notice it."""
    caller.close()
    await subject.noticed()
    place.proceed(subject)


async def _resets(subject: DepartedCallers, caller: RawCaller, place: Place) -> None:
    """Reset, and let the request go on when the router had time to notice it."""
    caller.reset()
    await subject.noticed()
    place.proceed(subject)


async def _closes_unseen(subject: DepartedCallers, caller: RawCaller, place: Place) -> None:
    """Close in the turn of the event loop in which the request may go on."""
    caller.close()
    place.proceed(subject)


async def _pipelines_unseen(subject: DepartedCallers, caller: RawCaller, place: Place) -> None:
    """Send another request and close in the turn in which the request may go on."""
    caller.send(subject.request())
    caller.close()
    place.proceed(subject)


async def _stays(subject: DepartedCallers, _: RawCaller, place: Place) -> None:
    """Stay connected."""
    place.proceed(subject)


async def _pipelines(subject: DepartedCallers, caller: RawCaller, place: Place) -> None:
    """Send another request behind the first one and close."""
    caller.send(subject.request())
    await anyio.sleep(0.05)
    caller.close()
    await subject.noticed()
    place.proceed(subject)


WAYS: MappingProxyType[str, Callable[[DepartedCallers, RawCaller, Place], Awaitable[None]]] = (
    MappingProxyType(
        {
            'closes': _closes,
            'resets': _resets,
            'closes unseen': _closes_unseen,
            'pipelines and closes': _pipelines,
            'pipelines and closes unseen': _pipelines_unseen,
            'stays': _stays,
        }
    )
)


async def leave(subject: DepartedCallers, place: Place, way: str) -> None:
    """Let a caller leave while its request is at a place."""
    caller = subject.caller()
    await place.reach(subject, caller)
    subject.left_s = time.monotonic()
    await WAYS[way](subject, caller, place)


async def leave_then_read(subject: DepartedCallers, place: Place, way: str) -> None:
    """Let a caller leave, and the server read what has arrived some time after that."""
    await leave(subject, place, way)
    await anyio.sleep(0.1)
    subject.server.read()


async def leave_busy(subject: DepartedCallers, place: Place, turn_s: float) -> None:
    """Let a caller leave while other work takes ``turn_s`` of each turn of the event loop."""
    caller = subject.caller()
    await place.reach(subject, caller)
    subject.left_s = time.monotonic()
    caller.close()
    while time.monotonic() < subject.left_s + BUSY_S:
        time.sleep(turn_s)  # noqa: ASYNC251 (it stands for work)
        await anyio.sleep(0)


async def wait_for_answer(subject: DepartedCallers, place: Place) -> None:
    """Wait until the answer begins."""
    caller = subject.caller()
    began_s = time.monotonic()
    await place.reach(subject, caller)
    await subject.until(caller.receive, 2)
    subject.answered_s = time.monotonic() - began_s
    subject.answer = caller.received


async def give_up_unread(subject: DepartedCallers, place: Place) -> None:
    """Read nothing of an answer; the connection stays open."""
    caller = subject.caller()
    await place.reach(subject, caller)
    subject.left_s = time.monotonic()
    await anyio.sleep(2 * UNREAD_LIMIT_S + 0.3)
    caller.close()
