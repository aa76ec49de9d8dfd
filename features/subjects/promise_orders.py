"""Subject: one request over every order of what servers may do with its attempts."""

import itertools
from collections.abc import Iterator

from subjects.forward_runs import KINDS, PROMISES, PROMPT_TOKENS, ForwardRuns
from subjects.server_behaviours import BEHAVIOURS

ATTEMPTS = 2
LONGER = (
    'lost',
    'breaks',
    'limited',
    'declines',
    'declined_sealed',
    'unreached',
    'closed',
)
"""Behaviours that are played in orders of three: one of each effect on the router."""


def broken_promises() -> tuple[int, list[str]]:
    """Play all orders; return their number, and those that broke a promise."""
    played = [(kind, order) for kind in KINDS for order in _orders()]
    found = ((kind, order, _fault(kind, order)) for kind, order in played)
    return len(played), [
        f'{kind} {",".join(order)}: {fault}' for kind, order, fault in found if fault
    ]


def _orders() -> Iterator[tuple[str, ...]]:
    yield from itertools.product(BEHAVIOURS, repeat=2)
    yield from itertools.product(LONGER, repeat=3)


def _fault(kind: str, order: tuple[str, ...]) -> str:
    runs = ForwardRuns(kind, ATTEMPTS, list(order))
    try:
        runs.request()
        return _broken(runs, kind)
    except AssertionError as error:
        return str(error)
    finally:
        runs.close()


def _broken(runs: ForwardRuns, kind: str) -> str:
    ran, sink = runs.links.ran, runs.sink
    told = sink.status in PROMISES or (sink.refusal is not None and sink.refusal.not_run == 'true')
    allowed = 1 if kind in {'unsafe', 'streamed'} else ATTEMPTS
    faults = {
        'told as not run': bool(told and ran),
        'ran too often': ran > allowed,
        'a run is not paid for': bool(ran) and runs.spent() < PROMPT_TOKENS,
        'nothing ran, and it is paid for': not ran and runs.spent() > 0,
        'the caller got no answer': not sink.status,
    }
    return ', '.join(fault for fault, found in faults.items() if found)
