"""Import all modules of a plugins folder, so that their decorators register them."""

import importlib
import pkgutil
from collections.abc import Iterable


def load_plugins(package: str, path: Iterable[str]) -> None:
    """Import each module of ``package``."""
    for module in pkgutil.iter_modules(path):
        importlib.import_module(f'{package}.{module.name}')
