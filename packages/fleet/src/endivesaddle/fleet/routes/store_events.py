"""Log events of a router's connection to the store and to relays."""

from endivesaddle.fleet.events import event

STORE_LOST = event(
    4605,
    'WARNING',
    'routes_store_lost',
    'the store did not answer; the last known state stays in use',
)
STORE_BACK = event(4606, 'INFO', 'routes_store_regained', 'the store answers again')
ROUTERS_KNOWN = event(
    4607, 'INFO', 'routers_known', 'the set of routers that share budgets and retries changed'
)
ROUTERS_UNREFRESHED = event(
    4608,
    'INFO',
    'routers_unrefreshed',
    'the list of routers could not be read from the store; the known ones stay in use',
)
DIRECT_LOST = event(
    4610,
    'WARNING',
    'store_lost_directly',
    'the store does not answer this instance; relays are used',
)
DIRECT_BACK = event(
    4611, 'INFO', 'store_regained_directly', 'the store answers this instance again'
)
RELAY = event(4612, 'INFO', 'store_relayed', 'another instance relays the calls to the store')
RELAY_LOST = event(4613, 'INFO', 'store_relay_lost', 'the relay for store calls failed')
HUB_LOST = event(
    4616, 'INFO', 'store_hub_lost', 'the sidecar that polls the store for this router failed'
)
LOOP_LAG = event(
    4618, 'INFO', 'process_late', 'the event loop lags: the processor of this process is overloaded'
)
VERSIONS_RECORDED = event(
    4623, 'INFO', 'versions_recorded', 'the record of the software versions of services changed'
)
VERSIONS_LOST = event(
    4624,
    'INFO',
    'versions_unread',
    'the record of software versions could not be read or written now',
)
ENTRY_NOT_RENEWED = event(
    4614, 'INFO', 'entry_unkept', "this instance's entry in the store could not be renewed"
)
