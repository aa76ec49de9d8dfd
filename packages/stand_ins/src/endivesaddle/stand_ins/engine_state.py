"""What a stand-in engine is told to do wrong, and what it saw."""

import dataclasses

import msgspec

NEVER = -1


@dataclasses.dataclass
class EngineSwitches:
    """Faults and speed of a stand-in engine; all are off at first.

    ``die_after_tokens`` and ``silent_after_tokens`` count the tokens of each
    answer that are sent before it breaks off or falls silent for good;
    ``cut_after_tokens`` those before a stream ends as if it were whole.
    """

    answer_tokens: int = 8
    first_token_s: float = 0.01
    token_s: float = 0.002
    unreachable: bool = False
    refuse_status: int = 0
    die_after_tokens: int = NEVER
    silent_after_tokens: int = NEVER
    cut_after_tokens: int = NEVER
    no_usage: bool = False
    over_report_tokens: int = 0
    order_s: float = 0.01
    refuse_orders: bool = False


@dataclasses.dataclass
class EngineState:
    """The memory of a stand-in engine, for tests to look into.

    ``seen`` has the id of each request that arrived, once for each arrival.
    ``generated_tokens`` counts by request id, over all its runs.
    """

    models: list[str] = dataclasses.field(default_factory=list)
    role: str = ''
    checks_orders: bool = True
    highest_fence: int = 0
    switches: EngineSwitches = dataclasses.field(default_factory=EngineSwitches)
    seen: list[str] = dataclasses.field(default_factory=list)
    generated_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    finished: set[str] = dataclasses.field(default_factory=set)
    orders: list[str] = dataclasses.field(default_factory=list)
    running: int = 0

    def arrive(self, request_id: str) -> None:
        """Note a request that reached the engine."""
        self.seen.append(request_id)
        self.running += 1

    def generate(self, request_id: str) -> None:
        """Note a generated token."""
        self.generated_tokens[request_id] = self.generated_tokens.get(request_id, 0) + 1

    def carry_out(self, kind: str, argument: str, fence: int) -> 'OrderOutcome':
        """Carry out an order; an engine that checks refuses an old fencing number."""
        if self.switches.refuse_orders:
            return OrderOutcome(False, 'no_such_model', 'refused', self.highest_fence)
        if self.checks_orders and fence < self.highest_fence:
            reason = f'{fence} is older than {self.highest_fence}'
            return OrderOutcome(False, 'old_fence', reason, self.highest_fence)
        self.highest_fence = max(self.highest_fence, fence)
        self.orders.append(f'{kind} {argument}')
        if kind == 'role':
            self.role = argument
        elif kind == 'load' and argument not in self.models:
            self.models.append(argument)
        elif kind == 'unload' and argument in self.models:
            self.models.remove(argument)
        return OrderOutcome(True, '', '', self.highest_fence)


class OrderOutcome(msgspec.Struct):
    """What became of an order."""

    done: bool
    code: str
    reason: str
    highest_fence: int
