"""Hooks of behave: make the subjects importable, keep logs quiet."""

import pathlib
import sys
from typing import Any

from loguru import logger

sys.path.insert(0, str(pathlib.Path(__file__).parent))


def before_all(context: Any) -> None:
    """Silence the logs; a test that checks events adds a sink of its own."""
    logger.remove()
