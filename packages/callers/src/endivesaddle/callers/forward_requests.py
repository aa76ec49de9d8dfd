"""Reading of a forwarded request: its route, account, limits and headers."""

import math
from http import HTTPStatus
from typing import NamedTuple

from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.refusals import Invalid
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.declared import Route, RouteAccount
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.header_names import HOP_BY_HOP, LENGTH, HeaderNames

MAX_PARTS = 64
"""Prompt parts that are read; more would take time and add no information."""
MAX_TOKENS = 1 << 40
MAX_EVENT_NUMBER = (1 << 63) - 1
_MS = 1000


class Head(NamedTuple):
    """The route and account of a request, known before its body is read."""

    route: Route
    account: RouteAccount | None


def read_head(exchange: Exchange, declarations: DeclarationIndex) -> Head | Invalid:
    """Return the route and account of a request, or the error."""
    route = declarations.find(exchange.headers.get('host', ''), exchange.raw_path)
    if route is None:
        return Invalid('route_not_found', 'no route matches', status=HTTPStatus.NOT_FOUND)
    if route.public or not declarations.accounts:
        return Head(route, None)
    account = declarations.account_of(exchange.bearer)
    if account is None:
        return Invalid('invalid_key', 'the key is unknown', status=HTTPStatus.UNAUTHORIZED)
    return Head(route, account)


def read_request(
    exchange: Exchange, head: Head, body: bytes, header_names: HeaderNames
) -> ForwardRequest | Invalid:
    """Return the whole request once its body has been read, or the error in a header."""
    names = exchange.headers
    try:
        prompt_tokens, max_tokens = _tokens(names.get(header_names.tokens, ''))
        parts = _parts(names.get(header_names.parts, ''))
        deadline_ms = _finite(names.get(header_names.deadline_ms) or head.route.timeout_ms)
        last_event = _last_event(names.get(header_names.last_event, ''))
    except ValueError as error:
        return Invalid('invalid_header', f'a header could not be read: {error}')
    began_unix_s = exchange.began_unix_s
    deadline_unix_s = began_unix_s + deadline_ms / _MS
    return ForwardRequest(
        request_id=names.get(header_names.request_id, ''),
        route=head.route,
        account=head.account,
        method=exchange.method,
        target=exchange.target,
        headers=_forwarded_headers(exchange, header_names),
        body=body,
        deadline_unix_s=deadline_unix_s,
        end_unix_s=min(deadline_unix_s, began_unix_s + head.route.timeout_ms / _MS),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        parts=parts,
        last_event=last_event,
        began_unix_s=began_unix_s,
        resumes=names.get(header_names.resumes, ''),
    )


def _forwarded_headers(
    exchange: Exchange, header_names: HeaderNames
) -> tuple[tuple[str, str], ...]:
    named = exchange.headers.get('connection', '').lower()
    own = {name.strip() for name in named.split(',')} | {LENGTH, header_names.last_event}
    dropped = HOP_BY_HOP | header_names.reserved | own
    return tuple(pair for pair in exchange.header_list if pair[0] not in dropped)


def _tokens(text: str) -> tuple[int, int]:
    """Parse "prompt,output" token counts; return (0, 0) for an empty header."""
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return _token_count(prompt), _token_count(output)


def _token_count(text: str) -> int:
    """Parse a number of tokens; messages between instances hold neither negative nor huge ones."""
    tokens = int(text)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f'a token count must be between 0 and {MAX_TOKENS}')
    return tokens


def _finite(value: str | float) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError('a deadline must be a finite number')
    return number


def _last_event(text: str) -> int:
    """Parse the number of the last event that a caller has; return -1 for an empty header."""
    number = int(text or -1)
    if not -1 <= number <= MAX_EVENT_NUMBER:
        raise ValueError(f'an event number must be between 0 and {MAX_EVENT_NUMBER}')
    return number


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    """Parse "id:tokens" entries separated by commas."""
    entries = [entry.strip().partition(':') for entry in text.split(',') if entry.strip()]
    return tuple((part, _token_count(tokens)) for part, _, tokens in entries[:MAX_PARTS])
