"""The commands: one module for each, entered into ``COMMANDS`` by ``@command``."""

from endivesaddle.operators.command import COMMANDS
from endivesaddle.operators.plugins import load_plugins

__all__ = ('COMMANDS',)

load_plugins(__name__, __path__)
