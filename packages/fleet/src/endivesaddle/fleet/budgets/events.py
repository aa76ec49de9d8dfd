"""Numbered events of the budgets."""

from endivesaddle.fleet.events import event

TAKEN_OVER = event(1001, 'INFO', 'budget_shard_taken', 'This router holds a shard from now on.')
EPOCH_PASSED = event(
    1002, 'WARNING', 'budget_epoch_passed', 'Another router took a shard over; admitting stopped.'
)
BAD_RECORD = event(
    1003,
    'ERROR',
    'budget_record_bad',
    'A record in the store is broken, newer or over its budget; its shard admits nothing.',
)
STORE_FAILED = event(
    1004, 'WARNING', 'budget_store_trouble', 'A shard could not be read or written for now.'
)
OVER_REPORT = event(
    1005,
    'ERROR',
    'budget_usage_over_bound',
    'More usage was reported than was reserved; the reservation was billed.',
)
SEALED = event(1006, 'INFO', 'budget_epoch_sealed', 'All that ran under an old epoch is known.')
STRANDED = event(
    1007,
    'WARNING',
    'budget_tokens_stranded',
    'Tokens of an old epoch stay set aside: what ran under it is not known for sure.',
)
GAVE = event(1008, 'INFO', 'budget_headroom_given', 'Headroom was given to another data centre.')
TOP_UP = event(1009, 'INFO', 'budget_topped_up', 'A top-up or declared budget was accepted.')
LATE_SETTLE = event(
    1010, 'INFO', 'budget_settled_late', 'A request of an old epoch was settled after its takeover.'
)
