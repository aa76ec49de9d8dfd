"""Numbered events of the operators' side (7000 to 7999)."""

from endivesaddle.fleet.events import event

CHANGE_ACCEPTED = event(
    7001, 'INFO', 'change_accepted', 'An operator changed the configuration; a new revision stands.'
)
CHANGE_CONFLICT = event(
    7002, 'WARNING', 'change_conflict', 'A change lost against another one; nothing of it stands.'
)
CHANGE_NOT_ACCEPTED = event(
    7003, 'WARNING', 'change_not_accepted', 'A change took no effect, mostly as the store was down.'
)
CHANGE_UNKNOWN = event(
    7004, 'ERROR', 'change_unknown', 'The fate of a change could not be read back in time.'
)
RECORD_UNREADABLE = event(
    7010, 'ERROR', 'audit_record_unreadable', 'An audit record can not be decoded; it is left out.'
)
STORE_REVERTED = event(
    7005,
    'ERROR',
    'store_reverted',
    'The store holds an older revision than is in force; changes are refused until it is restored.',
)
ACCESS_REFUSED = event(
    7006, 'WARNING', 'operator_refused', 'A command came without a valid token, or beyond its role.'
)
COMMAND_RUN = event(7007, 'INFO', 'command_run', 'A changing command was given; with its result.')
TIDYING_CUT = event(
    7009,
    'INFO',
    'tidying_cut',
    'Parts of old revisions could not be taken out of the store now; the next change tries again.',
)
AUDIT_INCOMPLETE = event(
    7008,
    'WARNING',
    'audit_incomplete',
    'A change took effect but its audit record still says "asked"; the budget or head proves it.',
)
