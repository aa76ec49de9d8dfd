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
GRANT = event(1501, 'INFO', 'grant_changed', "this router's share of an account's total changed")
GRANT_SHORT = event(
    1502, 'INFO', 'grant_short', 'a request did not fit into what the account has left here'
)
FACTS = event(
    4609, 'INFO', 'facts_from_router', 'another router told what the store does not tell here'
)
LENT = event(1503, 'INFO', 'grant_lent', 'a part of a share went from one router to another')
GRANT_UNWRITTEN = event(
    1504, 'INFO', 'grant_unwritten', "a router's shares could not be written; it uses what it has"
)
LEND_FAILED = event(
    1505, 'INFO', 'grant_lend_failed', 'a router asked for a part of its share did not answer'
)
