"""The request life cycle: a request is claimed, dispatched, followed, settled and recorded."""

from endivesaddle.fleet.requests.claims import Claims
from endivesaddle.fleet.requests.front import RequestFront
from endivesaddle.fleet.requests.records import Recorder
from endivesaddle.fleet.requests.settings import RequestSettings

__all__ = ('Claims', 'Recorder', 'RequestFront', 'RequestSettings')
