"""The deterministic answers of a stand-in engine, in the OpenAI API's shapes.

A token is a word.  Token i of an answer is the first word of the prompt with i
after it, so that an answer tells which request it belongs to and which part of
it is missing.
"""

from typing import Any

import msgspec

from endivesaddle.stand_ins.engine_state import EngineSwitches

DONE = b'data: [DONE]\n\n'


class Asked:
    """A request to an engine, as the answers need it."""

    def __init__(self, path: str, body: bytes, switches: EngineSwitches) -> None:
        """Read the prompt and the limits from a body."""
        self.asked: dict[str, Any] = msgspec.json.decode(body)
        self.chat = path.endswith('/chat/completions')
        self.stream = self.asked.get('stream') is True
        options = self.asked.get('stream_options') or {}
        self.usage_wanted = options.get('include_usage') is True
        self.prompt = _prompt(self.asked).split()
        limit = self.asked.get('max_tokens') or self.asked.get('max_completion_tokens')
        self.tokens = min(switches.answer_tokens, limit or switches.answer_tokens)
        self._switches = switches

    def word(self, index: int) -> str:
        """Return token ``index`` of the answer."""
        stem = self.prompt[0] if self.prompt else 'empty'
        return f'{stem}{index} '

    def usage(self) -> dict[str, int] | None:
        """Return the usage object, or None for an engine that reports none."""
        if self._switches.no_usage:
            return None
        extra = self._switches.over_report_tokens
        prompt_tokens = len(self.prompt)
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.tokens + extra,
            'total_tokens': prompt_tokens + self.tokens + extra,
        }

    def event(self, index: int) -> bytes:
        """Return the event of one token."""
        word = self.word(index)
        choice = {'delta': {'content': word}} if self.chat else {'text': word}
        return _event({'choices': [{'index': 0, **choice}]})

    def last_events(self) -> list[bytes]:
        """Return what follows the last token: usage where asked for, and the end."""
        usage = self.usage()
        if usage is None or not self.usage_wanted:
            return [DONE]
        return [_event({'choices': [], 'usage': usage}), DONE]

    def whole(self) -> bytes:
        """Return an answer that is not streamed."""
        text = ''.join(self.word(index) for index in range(self.tokens))
        choice = (
            {'message': {'role': 'assistant', 'content': text}} if self.chat else {'text': text}
        )
        answer: dict[str, Any] = {'choices': [{'index': 0, 'finish_reason': 'stop', **choice}]}
        usage = self.usage()
        if usage is not None:
            answer['usage'] = usage
        return msgspec.json.encode(answer)


def _event(piece: dict[str, Any]) -> bytes:
    return b'data: %b\n\n' % msgspec.json.encode(piece)


def _prompt(body: dict[str, Any]) -> str:
    messages = body.get('messages')
    if not messages:
        return str(body.get('prompt') or '')
    return ' '.join(str(message.get('content') or '') for message in messages)
