"""Subject: a search for an order of steps that overspends or bills twice."""

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from subjects.budget_orders import ACTIONS, BudgetOrder, Step, Verdict

_FAULTS = tuple(name for name in ACTIONS if name not in {'request', 'sleep'})
_number = st.integers(0, 7)
_request = st.builds(Step, st.just('request'), _number, st.integers(0, 24), st.integers(0, 14))
_sleep = st.builds(Step, st.just('sleep'), st.integers(1, 30))
_fault = st.builds(Step, st.sampled_from(_FAULTS), _number, _number, _number)
_step = st.one_of(_request, _request, _sleep, _sleep, _fault)


class BudgetSearch:
    """Play orders that hypothesis makes up, and keep those that went wrong."""

    def __init__(self, examples: int, steps: int) -> None:
        """Search through some examples of up to some steps."""
        self.played = 0
        self.overspent: list[tuple[list[Step], Verdict]] = []
        self.overbilled: list[tuple[list[Step], Verdict]] = []
        self._examples = examples
        self._steps = steps

    def run(self) -> None:
        """Search; the same examples on every run."""
        orders = st.lists(_step, min_size=self._steps // 2, max_size=self._steps)
        search = settings(
            max_examples=self._examples,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )(given(orders)(self.play))
        search()

    def play(self, steps: list[Step]) -> None:
        """Play one order and keep it if it went wrong."""
        verdict = BudgetOrder(steps).play()
        self.played += 1
        if verdict.overspent > 0:
            self.overspent.append((steps, verdict))
        if verdict.overbilled > 0:
            self.overbilled.append((steps, verdict))
