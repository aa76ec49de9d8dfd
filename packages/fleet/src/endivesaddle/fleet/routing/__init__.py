"""Routing and admission of requests to backend servers."""

from endivesaddle.fleet.routing.admission import Admission
from endivesaddle.fleet.routing.settings import RoutingSettings

__all__ = ('Admission', 'RoutingSettings')
