"""Log events of evacuated data centres."""

from endivesaddle.fleet.events import event

EVACUATED = event(
    4620,
    'INFO',
    'data_centre_evacuated',
    'this router sends no new requests to servers of a data centre',
)
TAKEN_BACK = event(
    4621,
    'INFO',
    'data_centre_taken_back',
    'this router sends requests to servers of a data centre again',
)
