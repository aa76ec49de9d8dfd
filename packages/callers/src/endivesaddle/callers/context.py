"""The context shared by the handlers of one router's routes."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from endivesaddle.callers.accounts import KeyIndex
from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.metrics import Metrics
from endivesaddle.callers.ports import OperatorPort, StatePort
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.interfaces import RequestHandler
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.registry import Registry


class Context(NamedTuple):
    """The settings and the other parts of the router."""

    settings: CallersSettings
    front: RequestHandler
    view: FleetView
    operators: OperatorPort
    state: StatePort
    keys: KeyIndex
    metrics: Metrics


Handler = Callable[[Context, Exchange], Awaitable[None]]

routes: Registry[Handler] = Registry('route')
"""Handlers by "METHOD /path"; a path that ends in /* matches all paths with that prefix."""
