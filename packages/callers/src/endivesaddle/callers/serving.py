"""Routes for callers: model requests and services."""

import math
from http import HTTPStatus

import anyio

from endivesaddle.callers import events
from endivesaddle.callers.context import Context, routes
from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.naming import Name, read_name
from endivesaddle.callers.refusals import Invalid, error_body, refuse
from endivesaddle.callers.relay import REQUEST_ID, Relay
from endivesaddle.callers.requests import CHAT, COMPLETIONS, SERVICES, read_request
from endivesaddle.fleet.configuration import Account
from endivesaddle.fleet.interfaces import Answer, CallerRequest
from endivesaddle.fleet.sentinels import Refusal

_LEAVING = Invalid(
    'leaving',
    'this router is leaving; another one will accept the request',
    status=HTTPStatus.SERVICE_UNAVAILABLE,
    retry_after_s=1,
)
_FULL = Invalid(
    'router_full',
    'this router has reached its maximum number of open requests',
    status=HTTPStatus.SERVICE_UNAVAILABLE,
    retry_after_s=1,
)
_NO_KEY = Invalid(
    'invalid_api_key',
    'the Authorization header contains no key of a client account',
    'authorization',
    HTTPStatus.UNAUTHORIZED,
)


@routes.add(f'POST {CHAT}')
@routes.add(f'POST {COMPLETIONS}')
@routes.add(f'* {SERVICES}*')
async def serve_request(context: Context, exchange: Exchange) -> None:
    """Check a request, run it and relay its answer."""
    name = read_name(exchange)
    if isinstance(name, Invalid):
        return await _refuse(context, exchange, Name('', named=True, first_attempt=False), name)
    with context.metrics.open_request():
        request = await _checked(context, exchange, name)
        if isinstance(request, Invalid):
            return await _refuse(context, exchange, name, request)
        await _run(context, exchange, request)


@routes.add('GET /v1/models')
async def list_models(context: Context, exchange: Exchange) -> None:
    """Send the list of models in OpenAI's format."""
    if context.keys.account(exchange.bearer) is None:
        return await _refuse(context, exchange, Name('', named=False, first_attempt=True), _NO_KEY)
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'endivesaddle'}
        for name in sorted(context.view.configuration.models)
    ]
    await exchange.reply_json(HTTPStatus.OK, {'object': 'list', 'data': models})


async def _checked(context: Context, exchange: Exchange, name: Name) -> CallerRequest | Invalid:
    account = _admitted(context, exchange)
    if isinstance(account, Invalid):
        return account
    return await read_request(exchange, name, account, context.view.configuration, context.settings)


def _admitted(context: Context, exchange: Exchange) -> Account | Invalid:
    """Return the caller's account, or why a request can't be accepted now."""
    account = context.keys.account(exchange.bearer)
    if account is None:
        return _NO_KEY
    if context.state.leaving():
        return _LEAVING
    if context.metrics.open_count > context.settings.max_in_flight:
        return _FULL
    return account


async def _run(context: Context, exchange: Exchange, request: CallerRequest) -> None:
    """Run a request for as long as its caller stays connected.

    When the caller disconnects, the call to the front is cancelled, or the chunks of the
    answer are closed, which notifies the front.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_watch, context, exchange, request, group.cancel_scope)
        await _answer(context, exchange, request)
        group.cancel_scope.cancel()


async def _watch(
    context: Context, exchange: Exchange, request: CallerRequest, scope: anyio.CancelScope
) -> None:
    await exchange.wait_disconnected()
    # The HTTP server also reports a disconnect when the answer has ended. Cancelling then
    # would interrupt the server's last send and leave the connection unusable.
    if exchange.ending and not exchange.stalled:
        return
    if exchange.stalled:
        events.STALLED.log(request=request.key)
    else:
        events.DISCONNECTED.log(request=request.key, seen_by=exchange.close_seen_by)
    context.metrics.ended('gone')
    scope.cancel()


async def _answer(context: Context, exchange: Exchange, request: CallerRequest) -> None:
    answer = await context.front.serve(request)
    if isinstance(answer, Refusal):
        return await send_refusal(context, exchange, answer, request.request_id)
    await _relay(context, exchange, request, answer)


async def _relay(
    context: Context, exchange: Exchange, request: CallerRequest, answer: Answer
) -> None:
    context.metrics.answered(answer.status)
    end = await Relay(exchange, request.request_id, context.settings).run(answer)
    context.metrics.ended(end.value)


async def _refuse(context: Context, exchange: Exchange, name: Name, invalid: Invalid) -> None:
    refusal = refuse(invalid, no_earlier_attempt=name.first_attempt)
    async with anyio.create_task_group() as group:
        group.start_soon(exchange.wait_disconnected)
        await send_refusal(context, exchange, refusal, name.request_id, invalid.param)
        group.cancel_scope.cancel()


async def send_refusal(
    context: Context,
    exchange: Exchange,
    refusal: Refusal,
    request_id: str,
    param: str = '',
) -> None:
    """Send a refusal to the caller, with what is known of its request."""
    events.REFUSED.log(request_id=request_id, code=refusal.code, not_run=refusal.not_run)
    context.metrics.refused(refusal.code)
    context.metrics.answered(refusal.status)
    headers = [(REQUEST_ID, request_id)] if request_id else []
    if refusal.retry_after_s:
        headers.append(('retry-after', str(math.ceil(refusal.retry_after_s))))
    await exchange.reply(refusal.status, error_body(refusal, request_id, param), headers)
