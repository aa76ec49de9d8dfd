"""Numbered events of the budgets."""

from endivesaddle.fleet.events import event

TAKEN_OVER = event(
    1001, 'INFO', 'budget_shard_taken', 'This router has become the holder of a shard.'
)
EPOCH_PASSED = event(
    1002,
    'WARNING',
    'budget_epoch_passed',
    'Another router took over a shard; this one admits no more requests for it.',
)
BAD_RECORD = event(
    1003,
    'ERROR',
    'budget_record_bad',
    'A record in the store is corrupt, of a newer format or over its budget;'
    ' its shard admits no requests.',
)
STORE_FAILED = event(
    1004,
    'WARNING',
    'budget_store_trouble',
    'The record of a shard could not be read or written; this is retried.',
)
OVER_REPORT = event(
    1005,
    'ERROR',
    'budget_usage_over_bound',
    'Usage was reported above the reservation; the reserved tokens were billed.',
)
SEALED = event(1006, 'INFO', 'budget_epoch_sealed', 'All runs under a past epoch are known.')
STRANDED = event(
    1007,
    'WARNING',
    'budget_tokens_stranded',
    'Tokens of a past epoch stay stranded because some runs under it may be unknown.',
)
GAVE = event(
    1008, 'INFO', 'budget_headroom_given', 'Headroom was transferred to another data centre.'
)
TOP_UP = event(1009, 'INFO', 'budget_topped_up', 'A top-up or declared budget was accepted.')
LATE_SETTLE = event(
    1010,
    'INFO',
    'budget_settled_late',
    'A request of a past epoch was settled after the shard was taken over.',
)
