"""Events of the distribution of the configuration (4500 to 4999)."""

from endivesaddle.fleet.events import event

IN_FORCE = event(
    4501, 'INFO', 'configuration_in_force', 'A revision came into force on this instance.'
)
OLDER_IN_STORE = event(
    4502,
    'ERROR',
    'store_went_back',
    'The store has an older revision than the one in force; it is rejected.',
)
NEWER_FORMAT = event(
    4503,
    'ERROR',
    'newer_format',
    'A head has a newer format than this release supports; the old revision stays in force.',
)
UNREADABLE = event(
    4504,
    'ERROR',
    'configuration_unreadable',
    'A revision is corrupt or incomplete; it is rejected.',
)
RELAYING = event(4505, 'INFO', 'relay_began', 'This router watches the store for its data centre.')
RELAY_ENDED = event(4506, 'INFO', 'relay_ended', 'This router no longer watches the store.')
STORE_LOST = event(
    4507, 'WARNING', 'store_lost', 'The store does not answer; the current revision stays in force.'
)
STORE_BACK = event(4508, 'INFO', 'store_back', 'The store answers again.')
FORKED = event(
    4509,
    'ERROR',
    'revision_differs',
    'The store has different content for the revision in force; it is rejected.',
)
