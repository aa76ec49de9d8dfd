"""Log events of a router's contact with the store, and with those that pass it on."""

from endivesaddle.fleet.events import event

STORE_LOST = event(
    4605, 'WARNING', 'routes_store_lost', 'the store did not answer; what is known stays'
)
STORE_BACK = event(4606, 'INFO', 'routes_store_regained', 'the store answers again')
ROSTER = event(4607, 'INFO', 'routers_known', 'the routers that share budgets and repeats changed')
ROSTER_LOST = event(
    4608, 'INFO', 'routers_unrefreshed', 'the store does not tell of routers; the known ones stay'
)
DIRECT_LOST = event(
    4610, 'WARNING', 'store_lost_directly', 'the store does not answer here; others are asked'
)
DIRECT_BACK = event(4611, 'INFO', 'store_regained_directly', 'the store answers here again')
RELAY = event(4612, 'INFO', 'store_relayed', 'another instance makes the calls to the store')
RELAY_LOST = event(4613, 'INFO', 'store_relay_lost', 'the instance that made them fails to')
HUB_LOST = event(
    4616, 'INFO', 'store_hub_lost', 'the sidecar that polls the store for this router fails to'
)
LATE = event(
    4618, 'INFO', 'process_late', 'this process gets to its work late: its processor is taken'
)
ENTRY_UNKEPT = event(
    4614, 'INFO', 'entry_unkept', "this instance's entry in the store could not be renewed"
)
