"""Errors raised while a request is handled; none is passed on to callers."""

from endivesaddle.fleet.errors import FleetError


class RunLost(FleetError):
    """The sidecar of a run is lost, so the outcome of the run is not known."""


class RunForgotten(FleetError):
    """The sidecar doesn't know the run or no longer has its answer."""


class BrokenBatch(FleetError):
    """A batch of records in the store can't be decoded."""
