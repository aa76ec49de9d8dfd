"""Log events of routes, backend servers and grants."""

from endivesaddle.fleet.events import event

DECLARED = event(
    4601,
    'INFO',
    'routes_in_force',
    'a version of routes, services and accounts is in force on this instance',
)
SERVER = event(
    4602, 'INFO', 'server_known', 'a backend server was added, or announced that it is leaving'
)
SERVER_GONE = event(4603, 'INFO', 'server_withdrawn', 'a backend server takes no new requests')
VALUE_UNREADABLE = event(
    4604,
    'ERROR',
    'declarations_unreadable',
    'a value in the store could not be read and is ignored; logged once for each version',
)
DECLARATIONS_LOST = event(
    4619, 'INFO', 'declarations_lost', "another router's newer declarations did not arrive"
)
GRANT = event(1501, 'INFO', 'grant_changed', 'the grants owned by this instance were written')
GRANT_SHORT = event(
    1502,
    'INFO',
    'grant_short',
    'a request did not fit into what the account has left on this instance',
)
FACTS = event(
    4609,
    'INFO',
    'facts_from_router',
    'another router supplied state that the store did not',
)
GRANT_UNWRITTEN = event(
    1504,
    'INFO',
    'grant_unwritten',
    'grants could not be written; existing grants stay in use',
)
GRANT_FORESTALLED = event(
    1506, 'INFO', 'grant_forestalled', 'another allocator wrote the record first; it is read again'
)
GRANT_RECLAIMED = event(
    1510,
    'INFO',
    'grant_reclaimed',
    'tokens that an ended allocator incarnation had not handed out are free again',
)
GRANT_LACKING = event(
    1507, 'INFO', 'grant_lacking', "an allocator's grant did not cover what a router asked for"
)
NAME_UNREAD = event(
    4622,
    'WARNING',
    'stored_name_unread',
    'the store has a field or key that this version does not read',
)
