"""Calls of the command line to a router over HTTP."""

import secrets
from http import HTTPStatus
from typing import Any, NamedTuple

import httpx
import msgspec

from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue, decode_json
from endivesaddle.fleet.errors import EXIT_FAILED, EXIT_UNKNOWN, EXIT_USAGE, UserError
from endivesaddle.operators.reply import Reply, ReplyBody

COMMAND_PATH = '/operators/v1/command'
_TIMEOUT_S = 60.0
_ID_BYTES = 9
_reply_decoder: JsonDecoder[ReplyBody] = JsonDecoder(ReplyBody)


class Router(NamedTuple):
    """Where commands go, and with which token."""

    url: str
    token: str


def new_change_id() -> str:
    """Return an id for a change; made before it is sent, so that it can be sent again."""
    return f'c-{secrets.token_hex(_ID_BYTES)}'


def send(router: Router, line: str, change_id: str, changes: bool) -> Reply:
    """Run one command at a router; ``changes`` tells whether it may change something."""
    body = {'line': line, 'change_id': change_id}
    try:
        answer = _client(router).post(COMMAND_PATH, json=body)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol) as error:
        message = f'the router {router.url} was not reached, nothing was sent: {error}'
        return Reply([message], status=EXIT_FAILED)
    except httpx.TransportError as error:
        # The command was on its way: a change may have taken effect at the router.
        if not changes:
            return Reply([f'no answer from {router.url}: {error}'], status=EXIT_FAILED)
        again = f'unknown, ask again with --change-id {change_id}'
        message = f'{again}: no answer from {router.url}: {error}'
        return Reply([message], status=EXIT_UNKNOWN, change_id=change_id)
    return _reply(answer)


def fetch_dump(router: Router, address: str) -> Reply:
    """Return the state of the process at ``address`` ("ip:port" of its HTTP listener)."""
    at = router._replace(url=f'http://{address}')
    try:
        answer = _client(at).get('/dump')
    except httpx.TransportError as error:
        return Reply([f'{address} was not reached: {error}'], status=EXIT_FAILED)
    if answer.status_code != HTTPStatus.OK:
        return _reply(answer)
    try:
        state = decode_json(answer.content)
    except UnreadableValue as error:
        return Reply([f'{address} gave a state that is not JSON: {error}'], status=EXIT_FAILED)
    text = msgspec.json.format(answer.content).decode()
    return Reply(text.split('\n'), details={'state': state})


def _client(router: Router) -> httpx.Client:
    headers = {'authorization': f'Bearer {router.token}'}
    try:
        return httpx.Client(
            base_url=router.url, headers=headers, timeout=_TIMEOUT_S, trust_env=False
        )
    except (httpx.InvalidURL, UnicodeEncodeError) as error:
        raise UserError(f'the router {router.url!r} or the token is not usable: {error}') from None


def _reply(answer: httpx.Response) -> Reply:
    try:
        return Reply(**_reply_decoder.decode(answer.content))
    except UnreadableValue:
        status = EXIT_USAGE if answer.status_code == HTTPStatus.BAD_REQUEST else EXIT_FAILED
        return Reply([f'refused ({answer.status_code}): {_error_text(answer)}'], status=status)


def _error_text(answer: httpx.Response) -> str:
    try:
        found: Any = answer.json()['error']
    except (ValueError, KeyError, TypeError):
        return answer.text[:200] or answer.reason_phrase
    return str(found['message'] if isinstance(found, dict) and 'message' in found else found)
