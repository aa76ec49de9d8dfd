"""Token usage from an engine's response.

If the engine reports none, a high estimate is used, so that a budget is never overspent.  See
docs/design/runs.md.
"""

import math

import msgspec

from endivesaddle.fleet.decoding import JsonDecoder
from endivesaddle.wire import runs_pb2

TOKEN_CHARS = 3
"""Characters per token assumed by the estimate; the average of engines is about four."""
NO_USAGE = -1


class Usage(msgspec.Struct):
    """The usage object of the OpenAI API."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0

    @property
    def tokens(self) -> int:
        """All tokens, also if the engine gives no total."""
        return max(self.total_tokens, self.prompt_tokens + self.completion_tokens)


class Delta(msgspec.Struct):
    """The part of a chat response that one event adds."""

    content: str | None = None
    reasoning_content: str | None = None
    tool_calls: msgspec.Raw = msgspec.Raw(b'')


class Choice(msgspec.Struct):
    """One choice of a response: a delta or message of a chat, or plain text."""

    delta: Delta | None = None
    message: Delta | None = None
    text: str | None = None

    def tokens(self) -> int:
        """Estimate the tokens from the text, at least one if there is any."""
        chars = len(self.text or '')
        for part in (self.delta, self.message):
            if part is not None:
                chars += len(part.content or '') + len(part.reasoning_content or '')
                chars += len(bytes(part.tool_calls))
        return math.ceil(chars / TOKEN_CHARS)


class Piece(msgspec.Struct):
    """An event of a streamed response, or a complete response."""

    choices: list[Choice] = []
    usage: Usage | None = None


_decoder: JsonDecoder[Piece] = JsonDecoder(Piece)


def parse_piece(text: bytes) -> Piece:
    """Parse an event's data or a complete response; raise ``ValueError`` if it is not valid."""
    return _decoder.decode(text)


class Meter:
    """Counts the tokens that a run has used so far."""

    def __init__(self, message: runs_pb2.StartRequest, choices: int) -> None:
        """Assume the worst case of the prompt: the bound less the maximum of generated tokens."""
        self._bound_tokens = message.bound_tokens
        self._prompt_tokens = max(0, message.bound_tokens - choices * message.max_tokens)
        self._generated_tokens = 0
        self.reported_tokens = NO_USAGE

    def take(self, piece: Piece) -> None:
        """Count a piece of the response; usage reported by the engine replaces the estimate."""
        if piece.usage is not None:
            self.reported_tokens = piece.usage.tokens
        for choice in piece.choices:
            self._generated_tokens += choice.tokens()

    @property
    def so_far_tokens(self) -> int:
        """The reported usage or else the estimate; 0 before the first piece."""
        if self.reported_tokens != NO_USAGE:
            return self.reported_tokens
        if not self._generated_tokens:
            return 0
        return min(self._bound_tokens, self._prompt_tokens + self._generated_tokens)
