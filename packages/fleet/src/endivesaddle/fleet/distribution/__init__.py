"""Distribution of accepted configurations to all instances; revisions never go back."""

from endivesaddle.fleet.distribution.distribution import Distribution
from endivesaddle.fleet.distribution.settings import DistributionSettings

__all__ = ('Distribution', 'DistributionSettings')
