"""Numbered events of the runs of a sidecar."""

from endivesaddle.fleet.events import event

RUN_REFUSED = event(
    2500, 'INFO', 'run_refused', 'A sidecar refused to start a run; it did not run there.'
)
RUN_ENDED = event(2501, 'INFO', 'run_ended', 'A run ended; its outcome and cost are told.')
OVER_REPORTED = event(
    2502, 'WARNING', 'run_usage_over_bound',
    'A backend server reported more tokens than the bound; the bound was billed.',
)  # fmt: skip
USAGE_MISSING = event(
    2503, 'WARNING', 'run_usage_missing',
    'A backend server reported no usage; a safe estimate was billed.',
)  # fmt: skip
SETTLE_DELAYED = event(
    2504,
    'WARNING',
    'run_settle_delayed',
    'No holder acknowledged a settlement yet; it is tried again.',
)
RUNS_SEALED = event(2505, 'INFO', 'runs_sealed', 'Older epochs of a shard were sealed here.')
DRAINING = event(2506, 'INFO', 'sidecar_draining', 'The sidecar takes no new runs any more.')
DRAINED = event(2507, 'INFO', 'sidecar_drained', 'The last run ended, or the deadline passed.')
ORDER_REFUSED = event(
    2508, 'WARNING', 'engine_order_refused', 'An order to the engine was refused.'
)
ORDER_DONE = event(2509, 'INFO', 'engine_order_done', 'The engine carried out an order.')
ORDER_CORRECTED = event(
    2510, 'WARNING', 'engine_order_corrected',
    'The engine was not in the ordered state, as after a late order; the order was given again.',
)  # fmt: skip
ANSWER_DROPPED = event(
    2511, 'INFO', 'answer_dropped', 'A kept answer was dropped before its deadline to make room.'
)
