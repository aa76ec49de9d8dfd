"""What came out of one run of the routing bench."""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from endivesaddle.stand_ins.batching_traces import TraceRequest

MICROSECONDS = 1_000_000
LONGEST_US = 120 * MICROSECONDS
DIGITS = 3
PERCENTILES = (50, 95, 99)


class Run(NamedTuple):
    """What is run: firm's trace, policy, offered requests a second, and fault.

    ``scale`` multiplies the firm's engines and accounts; ``rate`` is for the whole.
    ``most_running``: sidecars refuse requests beyond so many, as not run; 0: never.
    """

    firm: str
    policy: str
    rate: float
    fault: str
    seed: int = 1
    until_s: float = 60.0
    routers: int = 3
    scale: int = 1
    most_running: int = 0


class Figures(NamedTuple):
    """What came out of a run, its warm-up left out.

    Times are seconds at the 50th, 95th and 99th percentile.  ``good`` are
    requests answered whole by their deadline.  ``false_refusals`` were turned
    away while some engine could have answered them in time.  ``fairness`` is, for
    the account that fared worst, its good tokens over its max-min fair share.
    """

    run: Run
    offered: int
    good: int
    good_tokens_per_s: float
    first_token_s: tuple[float, ...]
    between_tokens_s: tuple[float, ...]
    refused: int
    false_refusals: int
    late: int
    failed: int
    cache_hit_share: float
    fairness: float


class Tally:
    """Counts outcomes and times while a run goes on."""

    def __init__(self, run: Run, warm_up_s: float) -> None:
        """Count what arrives after the warm-up."""
        self._run = run
        self._warm_up_s = warm_up_s
        self._first = HdrHistogram(1, LONGEST_US, DIGITS)
        self._between = HdrHistogram(1, LONGEST_US, DIGITS)
        self._outcomes: Counter[str] = Counter()
        self._offered: Counter[str] = Counter()
        self._good: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()

    def counts(self, request: TraceRequest) -> bool:
        """Tell whether a request counts: it came after the warm-up."""
        return request.at_s >= self._warm_up_s

    def offered(self, request: TraceRequest) -> None:
        """Count an arrival."""
        if self.counts(request):
            self._offered[request.account] += request.answer_tokens
            self._tokens['requests'] += 1

    def first_token(self, request: TraceRequest, took_s: float, cached_tokens: int) -> None:
        """Count a first token."""
        if self.counts(request):
            self._first.record_value(int(took_s * MICROSECONDS))
            self._tokens['prompt'] += request.prompt_tokens
            self._tokens['cached'] += cached_tokens

    def step(self, at_s: float, took_s: float, requests: int) -> None:
        """Count the time between tokens of all requests in a batch."""
        if at_s >= self._warm_up_s:
            self._between.record_value(int(took_s * MICROSECONDS), requests)

    def ended(self, request: TraceRequest, outcome: str) -> None:
        """Count an outcome: good, late, failed, refused or false_refusal."""
        if not self.counts(request):
            return
        self._outcomes[outcome] += 1
        if outcome == 'good':
            self._good[request.account] += request.answer_tokens

    def figures(self) -> Figures:
        """Return all figures."""
        outcomes = self._outcomes
        fair = _fair_shares(self._offered, self._good.total())
        return Figures(
            run=self._run,
            offered=self._tokens['requests'],
            good=outcomes['good'],
            good_tokens_per_s=self._good.total() / (self._run.until_s - self._warm_up_s),
            first_token_s=_seconds(self._first),
            between_tokens_s=_seconds(self._between),
            refused=outcomes['refused'] + outcomes['false_refusal'],
            false_refusals=outcomes['false_refusal'],
            late=outcomes['late'],
            failed=outcomes['failed'],
            cache_hit_share=self._tokens['cached'] / max(1, self._tokens['prompt']),
            fairness=min((self._good[name] / fair[name] for name in fair), default=0),
        )


def _seconds(histogram: HdrHistogram) -> tuple[float, ...]:
    return tuple(
        histogram.get_value_at_percentile(percentile) / MICROSECONDS for percentile in PERCENTILES
    )


def _fair_shares(asked: Counter[str], given: float) -> dict[str, float]:
    """Return what each account would get of all that was given, max-min fair."""
    shares: dict[str, float] = {}
    left = given
    for count, (account, tokens) in enumerate(sorted(asked.items(), key=lambda pair: pair[1])):
        shares[account] = min(tokens, left / (len(asked) - count))
        left -= shares[account]
    return shares
