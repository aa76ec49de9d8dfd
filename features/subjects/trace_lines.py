"""The lines of a recorded trace; docs/design/traces.md describes them.

Each line is a JSON object with ``at_s`` (seconds from the trace's begin) and
``event``, which says which of these types it has.
"""

import pathlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NotRequired, TypedDict

import msgspec

FOLDER = pathlib.Path(__file__).parent.parent / 'traces'


class FleetLine(TypedDict):
    """The first line: the firm's fleet, as ``trace_firm.Firm`` takes it.

    ``aged_s``: how long it has been up when the trace begins.
    """

    at_s: float
    event: str
    data_centres: list[str]
    routers: int
    engines: list[int]
    services: list[int]
    models: list[str]
    service: str
    cost_tokens: int
    accounts: dict[str, int]
    answer_tokens: int
    aged_s: float


class RequestLine(TypedDict):
    """A request; ``routers`` are asked in turn until the caller has a whole answer.

    A chat has ``model``, ``words`` (length of the prompt) and ``max_tokens``; a
    call of the plain service has ``method``.  ``once``: it may not be repeated.
    """

    at_s: float
    event: str
    account: str
    key: str
    routers: list[str]
    once: bool
    model: NotRequired[str]
    words: NotRequired[int]
    max_tokens: NotRequired[int]
    stream: NotRequired[bool]
    method: NotRequired[str]


class FaultLine(TypedDict):
    """A fault or its healing; ``names`` are instances or data centres."""

    at_s: float
    event: str
    fault: str
    names: list[str]


class TopUpLine(TypedDict):
    """A top-up by an operator at a router; sent again until it is accepted."""

    at_s: float
    event: str
    account: str
    tokens: int
    id: str
    router: str


class ChangeLine(TypedDict):
    """A line of the operators' language that has to be accepted."""

    at_s: float
    event: str
    line: str
    router: str


class OutcomeLine(TypedDict):
    """What a request has to come to: one of ``outcomes``, and its runs and bill.

    Outcomes are ``answered``, ``unknown``, ``broken`` (no answer came) or
    ``refused CODE``; ``billed_tokens`` holds for an answered request.
    """

    at_s: float
    event: str
    account: str
    key: str
    outcomes: list[str]
    attempts_at_most: int
    runs_at_most: int
    billed_tokens: int


class TotalLine(TypedDict):
    """What the whole trace has to come to."""

    at_s: float
    event: str
    answered_share_at_least: float
    false_refusals_at_most: int
    false_refused_tries_at_most: int
    overspent_tokens: int


KINDS: Mapping[str, Any] = MappingProxyType(
    {
        'fleet': FleetLine,
        'request': RequestLine,
        'fault': FaultLine,
        'top_up': TopUpLine,
        'change': ChangeLine,
        'outcome': OutcomeLine,
        'total': TotalLine,
    }
)


class Trace:
    """A trace as read: its lines by kind."""

    def __init__(self, name: str) -> None:
        """Read ``features/traces/NAME.jsonl``; raises ``msgspec.ValidationError``."""
        text = (FOLDER / f'{name}.jsonl').read_text()
        self.lines = [_read(line) for line in text.splitlines()]

    def of(self, event: str) -> list[Any]:
        """Return the lines of one kind."""
        return [line for line in self.lines if line['event'] == event]


def _read(line: str) -> Any:
    raw = msgspec.json.decode(line)
    return msgspec.convert(raw, type=KINDS[raw['event']])
