"""Log events of routes and what is known of them."""

from endivesaddle.fleet.events import event

DECLARED = event(
    4601, 'INFO', 'routes_in_force', 'a version of routes, services and accounts is in force here'
)
SERVER = event(4602, 'INFO', 'server_known', 'a backend server is known, or says that it leaves')
SERVER_GONE = event(4603, 'INFO', 'server_withdrawn', 'a backend server takes no new requests')
DOCUMENT_BAD = event(
    4604, 'ERROR', 'declarations_unreadable', 'a stored declaration could not be read; ignored'
)
DECLARATIONS_LOST = event(
    4619, 'INFO', 'declarations_lost', "another router's newer declarations did not arrive"
)
GRANT = event(1501, 'INFO', 'grant_changed', 'the grants that are kept here were written')
GRANT_SHORT = event(
    1502, 'INFO', 'grant_short', 'a request did not fit into what the account has left here'
)
FACTS = event(
    4609, 'INFO', 'facts_from_router', 'another router told what the store does not tell here'
)
GRANT_UNWRITTEN = event(
    1504,
    'INFO',
    'grant_unwritten',
    'grants could not be written; what is granted goes on being used',
)
GRANT_FORESTALLED = event(
    1506, 'INFO', 'grant_forestalled', 'another keeper wrote the record first; it is taken anew'
)
GRANT_RECLAIMED = event(
    1510, 'INFO', 'grant_reclaimed', 'what an ended life of a keeper gave to nobody is free again'
)
GRANT_LACKING = event(
    1507, 'INFO', 'grant_lacking', "a keeper's grant did not cover what a router asked for"
)
NAME_UNREAD = event(
    4622, 'WARNING', 'stored_name_unread', 'a field or key in the store that nothing here reads'
)
