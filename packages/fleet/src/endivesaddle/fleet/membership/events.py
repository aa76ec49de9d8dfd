"""Events of membership (4000 to 4499)."""

from endivesaddle.fleet.events import event

JOINED = event(4001, 'INFO', 'member_joined', 'An instance, or a new incarnation of it, is live.')
SUSPECTED = event(4002, 'WARNING', 'member_suspected', 'An instance that beats here fell silent.')
GONE = event(4003, 'WARNING', 'member_gone', 'An instance that beats here is taken to be gone.')
LEFT = event(4004, 'INFO', 'member_leaving', 'An instance said that it leaves.')
COLLECTOR_LOST = event(
    4005, 'WARNING', 'collector_lost', 'The router that this instance beats to does not answer.'
)
ATTACHED = event(4006, 'INFO', 'collector_chosen', 'This instance beats to another router now.')
PAUSED = event(
    4007, 'WARNING', 'own_pause', 'This process stood still; it judges no silence from that time.'
)
ALONE = event(4008, 'WARNING', 'no_collector', 'No other router answers the beats.')
LIST_UNREADABLE = event(
    4009, 'WARNING', 'instance_list_unreadable', "The platform's list of instances was not read."
)
DIFFERED = event(
    4010, 'INFO', 'view_differed', 'The view of a data centre differed and is sent whole.'
)
REPLACED = event(
    4011, 'ERROR', 'name_taken', 'A later incarnation runs under the name of this instance.'
)
