"""Errors of the budgets; those of the store and of peers are turned into these."""

from endivesaddle.fleet.errors import FleetError


class BadRecord(FleetError):
    """A shard's record can't be used: broken, newer, or over its budget."""


class EpochSuperseded(FleetError):
    """Another holder has taken over: this one's epoch is old."""


class RecordWriteUnconfirmed(FleetError):
    """The record could not be written in time; what was tried may have taken effect."""
