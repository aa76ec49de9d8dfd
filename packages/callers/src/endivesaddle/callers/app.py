"""The ASGI application of a router: one task for each request."""

from collections.abc import MutableMapping
from http import HTTPStatus
from typing import Any

import anyio

from endivesaddle.callers import events, operating, serving
from endivesaddle.callers.accounts import KeyIndex
from endivesaddle.callers.context import Context, Handler, routes
from endivesaddle.callers.exchange import CallerGone, Exchange, Receive, Send, serve_lifespan
from endivesaddle.callers.metrics import Metrics
from endivesaddle.callers.ports import OperatorPort, StatePort
from endivesaddle.callers.refusals import Invalid, error_body, refuse
from endivesaddle.callers.requests import SERVICES
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.interfaces import RequestHandler
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.sentinels import RUN_UNKNOWN, Refusal

__all__ = ('CallersApp', 'CallersSettings')

HANDLERS = (operating, serving)
"""The modules whose import fills the registry of routes."""

_INTERNAL_ERROR = Refusal(
    'internal_error', 'the router failed', RUN_UNKNOWN, HTTPStatus.INTERNAL_SERVER_ERROR
)


class CallersApp:
    """Serves callers, operators and the platform's health checks."""

    def __init__(
        self,
        settings: CallersSettings,
        front: RequestHandler,
        view: FleetView,
        clock: Clock,
        operators: OperatorPort,
        state: StatePort,
    ) -> None:
        """Initialize; requests go to ``front`` and commands to ``operators``."""
        self.cut_count = 0
        self._clock = clock
        self._context = Context(settings, front, view, operators, state, KeyIndex(view), Metrics())

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'http':
            await self._serve(
                Exchange(scope, receive, send, self._context.settings, self._clock.now_s())
            )
        elif scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
        else:
            await send({'type': 'websocket.close'})

    @property
    def settings(self) -> CallersSettings:
        """The settings of the application."""
        return self._context.settings

    @property
    def in_flight(self) -> int:
        """The number of callers' requests that are open."""
        return self._context.metrics.open_count

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await find_handler(exchange)(self._context, exchange)
        except anyio.get_cancelled_exc_class():  # noqa: WPS455 (anyio names it by a call)
            # Only the HTTP server cancels a request, when its time limit for a stop is over.
            self.cut_count += 1
            raise
        except CallerGone:
            events.DISCONNECTED.log(path=exchange.path)
        except Exception as error:
            # A bug in the router must not leave the caller without an answer or end others.
            events.FAULT.log(path=exchange.path, error=repr(error))
            if not exchange.started:
                await exchange.reply(_INTERNAL_ERROR.status, error_body(_INTERNAL_ERROR))


def find_handler(exchange: Exchange) -> Handler:
    """Return the handler of a request's route."""
    route = f'{exchange.method} {exchange.path}'
    if exchange.path.startswith(SERVICES):
        route = f'* {SERVICES}*'
    try:
        return routes.find(route)
    except UserError:
        return _no_route


async def _no_route(context: Context, exchange: Exchange) -> None:
    refusal = refuse(
        Invalid(
            'route_not_found',
            f'there is no {exchange.method} {exchange.path}',
            status=HTTPStatus.NOT_FOUND,
        ),
        no_earlier_attempt=True,
    )
    await exchange.reply(refusal.status, error_body(refusal))
