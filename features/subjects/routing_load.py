"""Subject: the routing benchmark with fake engines."""

from types import MappingProxyType

from endivesaddle.stand_ins.batching_bench import measure
from endivesaddle.stand_ins.batching_tally import Figures, Run

CAPACITY = MappingProxyType({'azulejo': 64, 'nestkala': 100})
EARLIEST = 'earliest_first_token'
UNTIL_S = 20.0
FAULTY_UNTIL_S = 28.0


class RoutingLoad:
    """Runs of the benchmark, shorter than the published ones."""

    def __init__(self) -> None:
        """Initialize with no runs."""
        self.runs: list[Figures] = []

    @property
    def last(self) -> Figures:
        """The figures of the last run."""
        return self.runs[-1]

    def run(
        self, firm: str, load: float = 1, fault: str = 'steady', policy: str = EARLIEST
    ) -> None:
        """Run the benchmark once."""
        until_s = UNTIL_S if fault == 'steady' else FAULTY_UNTIL_S
        run = Run(firm, policy, CAPACITY[firm] * load, fault, until_s=until_s)
        self.runs.append(measure(run))
