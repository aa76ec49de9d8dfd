"""Subject: the head of a server's response, as the router reads and judges it."""

from types import MappingProxyType
from typing import Any, NamedTuple

from endivesaddle.backend_servers.answer_parser import AnswerParser
from endivesaddle.backend_servers.forward_client import ForwardedResponse
from endivesaddle.backend_servers.server_connection import RawResponse
from endivesaddle.fleet.routes.attempts import Proof, judge
from endivesaddle.fleet.routes.header_names import HeaderNames

NAMES = HeaderNames()
HEADERS = MappingProxyType(
    {
        'id': NAMES.request_id,
        'refusal': NAMES.declined,
        'seal': NAMES.seal,
        'server': NAMES.answering,
    }
)


class NamedRequest(NamedTuple):
    """A request, of which only the id matters."""

    request_id: str


class NamedServer(NamedTuple):
    """A server, of which only the incarnation matters."""

    lifetime: str = 'expected'


class NamedCall(NamedTuple):
    """One attempt of the request at one server."""

    request: NamedRequest
    server: NamedServer = NamedServer()


class StatedResponse:
    """One response to a request."""

    def __init__(self, status: int, request_id: str, headers: str) -> None:
        """Parse a response with ``headers``, such as "id one, seal x"."""
        pairs = (one.split() for one in headers.split(', '))
        lines = ''.join(f'{HEADERS[name]}: {text}\r\n' for name, text in pairs)
        parser = AnswerParser(bodiless=False)
        failed = parser.feed(f'HTTP/1.1 {status} Said\r\n{lines}content-length: 0\r\n\r\n'.encode())
        assert not failed, failed
        transport: Any = None
        call: Any = NamedCall(NamedRequest(request_id))
        self.response = ForwardedResponse(RawResponse(transport, parser), call, NAMES)

    def proves(self) -> str:
        """Return what the response proves of the request."""
        if not self.response.own:
            return 'nothing, as of another one'
        return 'nothing' if judge(self.response).proof is Proof.NONE else 'that it did not run'

    def relayed(self) -> set[str]:
        """Return the names of the headers that a caller gets."""
        return {name for name, _ in self.response.headers}
