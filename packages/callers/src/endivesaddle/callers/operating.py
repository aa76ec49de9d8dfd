"""Routes for operators and the platform: commands, state, health, metrics."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Annotated, Any, Required, TypedDict

import msgspec

from endivesaddle.callers import events
from endivesaddle.callers.context import Context, routes
from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.refusals import Invalid, error_body, error_document, refuse
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import UserError

_MAX_ID_CHARACTERS = 128
_FAILED = 'command_failed'
_CODES: Mapping[int, str] = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: 'invalid_command',
        HTTPStatus.UNAUTHORIZED: 'invalid_operator_token',
        HTTPStatus.NOT_FOUND: 'not_found',
        HTTPStatus.CONFLICT: 'change_conflict',
        HTTPStatus.GATEWAY_TIMEOUT: 'change_unknown',
    }
)

Line = Annotated[str, msgspec.Meta(min_length=1)]
ChangeId = Annotated[str, msgspec.Meta(max_length=_MAX_ID_CHARACTERS)]


class CommandBody(TypedDict, total=False):
    """A command line; a change sent again with the same ``change_id`` is applied once."""

    line: Required[Line]
    change_id: ChangeId


@routes.add('POST /operators/v1/command')
async def run_command(context: Context, exchange: Exchange) -> None:
    """Run one command of the operators' command language."""
    if not exchange.bearer:
        return await _send_refusal(exchange, _no_operator())
    command = await _read_command(exchange, context.settings.max_command_bytes)
    if isinstance(command, Invalid):
        return await _send_refusal(exchange, command)
    change_id = command.get('change_id', '')
    try:
        status, document = await context.operators.command(
            exchange.bearer, command['line'], change_id
        )
    except UserError as error:
        return await _send_refusal(exchange, Invalid('invalid_command', str(error), 'line'))
    events.COMMAND.log(change_id=change_id, status=status)
    if status >= HTTPStatus.BAD_REQUEST:
        document = {**document, 'error': _error(status, document)}
    await exchange.reply_json(status, document)


@routes.add('GET /healthz')
async def show_health(context: Context, exchange: Exchange) -> None:
    """Confirm that the process is alive, also while it is leaving."""
    await exchange.reply_json(HTTPStatus.OK, {'status': 'ok'})


@routes.add('GET /readyz')
async def show_readiness(context: Context, exchange: Exchange) -> None:
    """Tell the load balancer whether to send requests to this router."""
    ready, reason = context.state.ready()
    if context.state.leaving():
        ready, reason = False, 'leaving'
    status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
    await exchange.reply_json(status, {'ready': ready, 'reason': reason})


@routes.add('GET /metrics')
async def show_metrics(context: Context, exchange: Exchange) -> None:
    """Send all metrics for Prometheus."""
    text, headers = context.metrics.rendered(
        context.state.counters(), [exchange.headers.get('accept', '')]
    )
    await exchange.reply(
        HTTPStatus.OK, text, [(name.lower(), kind) for name, kind in headers.items()]
    )


_command_decoder: JsonDecoder[CommandBody] = JsonDecoder(CommandBody)


@routes.add('GET /dump')
async def show_state(context: Context, exchange: Exchange) -> None:
    """Send the state of this process to an operator."""
    if context.keys.operator(exchange.bearer) is None:
        return await _send_refusal(exchange, _no_operator())
    await exchange.reply_json(HTTPStatus.OK, context.state.dump())


async def _read_command(exchange: Exchange, max_bytes: int) -> CommandBody | Invalid:
    body = await exchange.body(max_bytes)
    if isinstance(body, Invalid):
        return body
    try:
        return _command_decoder.decode(body)
    except UnreadableValue as error:
        return Invalid('invalid_json', str(error))


def _error(status: int, document: dict[str, Any]) -> dict[str, Any]:
    """Return the error object of a failed command, which is added to its full reply."""
    message = document.get('error') or '\n'.join(document.get('messages', ()))
    failed = Invalid(_CODES.get(status, _FAILED), message, status=status)
    refusal = refuse(failed, no_earlier_attempt=status != HTTPStatus.GATEWAY_TIMEOUT)
    error: dict[str, Any] = error_document(refusal)['error']
    return error


def _no_operator() -> Invalid:
    return Invalid(
        'invalid_operator_token',
        'the Authorization header contains no token of an operator',
        'authorization',
        HTTPStatus.UNAUTHORIZED,
    )


async def _send_refusal(exchange: Exchange, invalid: Invalid) -> None:
    refusal = refuse(invalid, no_earlier_attempt=True)
    await exchange.reply(refusal.status, error_body(refusal, param=invalid.param))
