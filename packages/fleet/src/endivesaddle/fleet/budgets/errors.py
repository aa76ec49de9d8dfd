"""Errors raised by the budgets; errors of the store and of peers are converted to these."""

from endivesaddle.fleet.errors import FleetError


class BadRecord(FleetError):
    """A shard's record is unusable: corrupt, of a newer format, or over its budget."""


class EpochSuperseded(FleetError):
    """Another holder has taken over the shard under a later epoch."""


class RecordWriteUnconfirmed(FleetError):
    """No write of the record was confirmed in time; one may still have taken effect."""
