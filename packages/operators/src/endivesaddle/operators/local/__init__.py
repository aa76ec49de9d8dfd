"""Commands that run in the command line itself, or prepare what is sent to a router."""

from endivesaddle.operators.local_command import LOCAL
from endivesaddle.operators.plugins import load_plugins

__all__ = ('LOCAL',)

load_plugins(__name__, __path__)
