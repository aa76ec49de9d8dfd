"""Checks of model requests, and the upper bound of their cost."""

from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

import msgspec

from endivesaddle.callers import bodies, bounds
from endivesaddle.callers.refusals import Invalid
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.configuration import Model
from endivesaddle.fleet.decoding import UnreadableValue, convert, decode_json

Shape = TypeVar('Shape')

_MAX_TOKENS = 'max_tokens'
_MAX_COMPLETION_TOKENS = 'max_completion_tokens'
_CONTENT = 'content'
_TEXT = 'text'
_PLAIN_MESSAGE = frozenset(('role', _CONTENT, 'name'))


class ModelCall(NamedTuple):
    """A checked model request.

    ``bound_tokens`` is prompt bound + choices x ``max_tokens``; ``body`` is the body sent to
    the engine.
    """

    model: str
    body: bytes
    stream: bool
    bound_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]


class Prompt(NamedTuple):
    """The bound of a prompt; ``prompts`` is the number of prompts in the request."""

    bound_tokens: int
    text: bytes
    prompts: int = 1


def read_chat(
    raw: bytes, models: dict[str, Model], settings: CallersSettings
) -> ModelCall | Invalid:
    """Check the body of a chat completion."""
    document = read_document(raw, bodies.CHAT_FIELDS)
    if isinstance(document, Invalid):
        return document
    body = _convert(document, bodies.ChatBody)
    if isinstance(body, Invalid):
        return body
    model = models.get(body['model'])
    if model is None:
        return _unknown_model(body['model'])
    prompt = _chat_prompt(document['messages'], model)
    if isinstance(prompt, Invalid):
        return prompt
    return _call(document, body, model, prompt, settings)


def read_completion(
    raw: bytes, models: dict[str, Model], settings: CallersSettings
) -> ModelCall | Invalid:
    """Check the body of a plain completion."""
    document = read_document(raw, bodies.COMPLETION_FIELDS)
    if isinstance(document, Invalid):
        return document
    body = _convert(document, bodies.CompletionBody)
    if isinstance(body, Invalid):
        return body
    model = models.get(body['model'])
    if model is None:
        return _unknown_model(body['model'])
    prompt = _completion_prompt(document['prompt'], model)
    if isinstance(prompt, Invalid):
        return prompt
    return _call(document, body, model, prompt, settings)


def read_document(raw: bytes, known: frozenset[str]) -> dict[str, Any] | Invalid:
    """Return the JSON object of a body, or the error if it has other fields than ``known``."""
    try:
        document = decode_json(raw)
    except UnreadableValue as error:
        return Invalid('invalid_json', f'the body is not JSON: {error}')
    if not isinstance(document, dict):
        return Invalid('invalid_json', 'the body is not a JSON object')
    unknown = sorted(set(document) - known)
    if unknown:
        return Invalid('unsupported_field', f'{unknown[0]} is not supported', unknown[0])
    return document


def _convert(document: dict[str, Any], shape: type[Shape]) -> Shape | Invalid:
    try:
        return convert(document, shape, strict=True)
    except UnreadableValue as error:
        reason = str(error.__cause__)
        message, _, path = reason.partition(' - at `$')
        return Invalid('invalid_field', reason, path.strip('.`') or message)


def _unknown_model(name: str) -> Invalid:
    return Invalid('model_not_found', f'there is no model {name!r}', 'model', HTTPStatus.NOT_FOUND)


def _call(
    document: dict[str, Any],
    body: bodies.ModelBody,
    model: Model,
    prompt: Prompt,
    settings: CallersSettings,
) -> ModelCall | Invalid:
    max_tokens = _max_tokens(body, model, settings)
    choices = _choices(document, settings)
    if isinstance(max_tokens, Invalid):
        return max_tokens
    if isinstance(choices, Invalid):
        return choices
    return ModelCall(
        model=model.name,
        body=_engine_body(document, max_tokens),
        stream=bool(body.get('stream')),
        bound_tokens=prompt.bound_tokens
        + _extra_bound(document)
        + prompt.prompts * choices * max_tokens,
        max_tokens=max_tokens,
        prefix_hashes=bounds.prefix_hashes(prompt.text),
    )


def _engine_body(document: dict[str, Any], max_tokens: int) -> bytes:
    # The engine gets the checked document and not the caller's bytes: of a field given twice,
    # the engine might read the other value and exceed the bound. It always gets exactly one
    # limit, under the name that all engines support.
    sent = {name: entry for name, entry in document.items() if name != _MAX_COMPLETION_TOKENS}
    sent[_MAX_TOKENS] = max_tokens
    return msgspec.json.encode(sent)


def _max_tokens(body: bodies.ModelBody, model: Model, settings: CallersSettings) -> int | Invalid:
    named = (body.get('max_tokens'), body.get('max_completion_tokens'))
    given = {tokens for tokens in named if tokens is not None}
    if len(given) > 1:
        return Invalid('invalid_field', 'max_tokens and max_completion_tokens differ', _MAX_TOKENS)
    for requested in given:
        if requested > model.max_output_tokens:
            return Invalid(
                'max_tokens_too_large',
                f'max_tokens is at most {model.max_output_tokens} for {model.name}',
                _MAX_TOKENS,
            )
        return requested
    return min(settings.default_output_tokens, model.max_output_tokens)


def _choices(document: dict[str, Any], settings: CallersSettings) -> int | Invalid:
    choices = max(document.get('n') or 1, document.get('best_of') or 1)
    if choices > settings.max_choices:
        return Invalid('invalid_field', f'n is at most {settings.max_choices}', 'n')
    return choices


def _extra_bound(document: dict[str, Any]) -> int:
    return sum(
        bounds.json_bound(document[name])
        for name in bodies.IN_PROMPT & document.keys()
        if document[name] is not None
    )


def _chat_prompt(messages: list[dict[str, Any]], model: Model) -> Prompt | Invalid:
    bound_tokens = model.message_overhead_tokens
    texts = []
    for message in messages:
        text = _content(message.get(_CONTENT))
        if isinstance(text, Invalid):
            return text
        name = message.get('name') or ''
        head = f'{message["role"]}\n{name}\n'
        texts.append(head + text)
        bound_tokens += model.message_overhead_tokens
        bound_tokens += bounds.text_bound(head + text) + _message_extra(message)
    return Prompt(bound_tokens, '\n'.join(texts).encode('utf-8', 'surrogatepass'))


def _message_extra(message: dict[str, Any]) -> int:
    extra = {name: entry for name, entry in message.items() if name not in _PLAIN_MESSAGE}
    return bounds.json_bound(extra) if extra else 0


def _content(content: Any) -> str | Invalid:
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    texts = []
    for part in content:
        if part.get('type') != _TEXT or not isinstance(part.get(_TEXT), str):
            return Invalid(
                'unsupported_content', 'message parts other than text are not supported', 'messages'
            )
        texts.append(part[_TEXT])
    return '\n'.join(texts)


def _completion_prompt(prompt: Any, model: Model) -> Prompt | Invalid:
    prompts = prompt if _is_list_of_prompts(prompt) else [prompt]
    bound_tokens = 0
    for one in prompts:
        bound = _one_prompt(one)
        if isinstance(bound, Invalid):
            return bound
        bound_tokens += bound + model.message_overhead_tokens
    first = prompts[0] if isinstance(prompts[0], str) else ''
    return Prompt(bound_tokens, first.encode('utf-8', 'surrogatepass'), len(prompts))


def _is_list_of_prompts(prompt: Any) -> bool:
    return isinstance(prompt, list) and bool(prompt) and isinstance(prompt[0], (str, list))


def _one_prompt(prompt: Any) -> int | Invalid:
    if isinstance(prompt, str):
        return bounds.text_bound(prompt)
    if isinstance(prompt, list) and prompt and all(type(token) is int for token in prompt):
        return len(prompt)
    return Invalid(
        'invalid_field', 'prompt must be text or token ids, or a list of these', 'prompt'
    )
