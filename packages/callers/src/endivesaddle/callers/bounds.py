"""Upper bound of a prompt's length in tokens, without its tokenizer.

A prompt never has more tokens than bytes: a byte-level tokenizer merges bytes and never
splits one, and a tokenizer over Unicode characters falls back to the bytes of an unknown
character. Three additions are counted as well:

- some tokenizers normalize Unicode first, which makes the text longer where a character
  decomposes, so the longest normal form is counted;
- chat templates add roles and special tokens to each message, so
  ``message_overhead_tokens`` of the model is counted for each message and for the head of
  the answer;
- templates format tools and other JSON in their own way, so JSON is counted indented, with
  all non-ASCII characters escaped, and with HTML escapes.

The bound is several times the actual count for plain English; unused tokens are released
when the run ends.
"""

import json
import unicodedata
from typing import Any, Literal

import xxhash

BLOCK_BYTES = 256
MAX_BLOCKS = 64

_FORMS: tuple[Literal['NFC', 'NFD', 'NFKC', 'NFKD'], ...] = ('NFC', 'NFD', 'NFKC', 'NFKD')
_INDENT = 4
_HTML_EXTRA_BYTES = 5
_HTML_ESCAPED = "<>&'"


def text_bound(text: str) -> int:
    """Return the maximum number of tokens of a text."""
    if text.isascii():
        return len(text)
    lengths = [_bytes(unicodedata.normalize(form, text)) for form in _FORMS]
    return max(_bytes(text), *lengths)


def json_bound(document: Any) -> int:
    """Return the maximum number of tokens of a JSON document in a prompt."""
    # msgspec can't escape non-ASCII characters as the JSON filter of the templates does.
    written = json.dumps(document, indent=_INDENT)
    escapes = sum(written.count(character) for character in _HTML_ESCAPED)
    return len(written) + _HTML_EXTRA_BYTES * escapes


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the xxh3 hashes of a prompt's prefixes, each one block longer than the last."""
    state = xxhash.xxh3_64()
    hashes: list[int] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(hashes) == MAX_BLOCKS:
            break
        state.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(state.intdigest())
    return tuple(hashes)


def _bytes(text: str) -> int:
    # JSON may contain lone surrogates; a tokenizer reads each as at most three bytes.
    return len(text.encode('utf-8', 'surrogatepass'))
