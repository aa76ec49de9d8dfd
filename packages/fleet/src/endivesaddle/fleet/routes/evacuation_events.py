"""Log events of evacuated data centres."""

from endivesaddle.fleet.events import event

EVACUATED = event(
    4620, 'INFO', 'data_centre_evacuated', 'servers of a data centre are sent nothing new from here'
)
TAKEN_BACK = event(
    4621, 'INFO', 'data_centre_taken_back', 'servers of a data centre are sent requests again'
)
