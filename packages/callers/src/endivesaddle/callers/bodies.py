"""The supported fields of model requests and their types.

A field that isn't listed is refused: it might make the prompt or the answer longer than the
bound that is reserved in the budget (templates, documents, predicted output), so that the
engine would use tokens that are not reserved.
"""

from typing import Annotated, Any, Required, TypedDict

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
Document = dict[str, Any]


class ModelBody(TypedDict, total=False):
    """The fields that chat completions and plain completions have in common."""

    model: Required[str]
    max_tokens: Positive | None
    max_completion_tokens: Positive | None
    n: Positive | None
    stream: bool | None


class Message(TypedDict, total=False):
    """One message of a chat."""

    role: Required[str]
    content: str | list[Document] | None
    name: str | None


class ChatBody(ModelBody, total=False):
    """A chat completion request."""

    messages: Required[Annotated[list[Message], msgspec.Meta(min_length=1)]]


class CompletionBody(ModelBody, total=False):
    """A plain completion request; a prompt may be text or token ids, or several of either."""

    prompt: Required[Any]
    best_of: Positive | None


IN_PROMPT = frozenset(
    (
        'function_call',
        'functions',
        'reasoning_effort',
        'response_format',
        'suffix',
        'tool_choice',
        'tools',
        'verbosity',
    )
)
"""Fields whose content a template may add to the prompt."""

_SAMPLING = frozenset(
    (
        'echo',
        'frequency_penalty',
        'logit_bias',
        'logprobs',
        'metadata',
        'min_p',
        'parallel_tool_calls',
        'presence_penalty',
        'prompt_cache_key',
        'repetition_penalty',
        'safety_identifier',
        'seed',
        'service_tier',
        'stop',
        'store',
        'stream_options',
        'temperature',
        'top_k',
        'top_logprobs',
        'top_p',
        'user',
    )
)

CHAT_FIELDS = IN_PROMPT | _SAMPLING | frozenset(ChatBody.__annotations__)
COMPLETION_FIELDS = IN_PROMPT | _SAMPLING | frozenset(CompletionBody.__annotations__)
