"""Runs of a sidecar: each request at most once, its answer kept and followed by offset."""

from endivesaddle.fleet.runs.orders import OrderKeeper
from endivesaddle.fleet.runs.runs import Runs
from endivesaddle.fleet.runs.settings import RunSettings

__all__ = ('OrderKeeper', 'RunSettings', 'Runs')
