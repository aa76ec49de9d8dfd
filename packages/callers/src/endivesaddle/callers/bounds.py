"""The worst case of a prompt, in tokens, without its tokenizer.

A prompt never has more tokens than bytes: a byte-level tokenizer merges bytes
and never splits one, and one over Unicode characters falls back to the bytes
of a character that it doesn't know.  Three things come on top, and are counted:

- tokenizers that normalize Unicode first see longer text where a character
  decomposes, so the longest normal form is counted;
- chat templates write roles and special tokens around each message:
  ``message_overhead_tokens`` of the model for each, and for the answer's head;
- templates write tools and other JSON in their own layout, so it is counted
  indented, with all but ASCII escaped, and with the escapes of HTML.

The bound is several times the real count for plain English; what isn't used
is settled back when the run ends.
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
    """Return the most tokens that a text can have."""
    if text.isascii():
        return len(text)
    lengths = [_bytes(unicodedata.normalize(form, text)) for form in _FORMS]
    return max(_bytes(text), *lengths)


def json_bound(document: Any) -> int:
    """Return the most tokens that a JSON document in a prompt can have."""
    # Not msgspec: it can't escape what isn't ASCII, as the templates' JSON filter does.
    written = json.dumps(document, indent=_INDENT)
    escapes = sum(written.count(character) for character in _HTML_ESCAPED)
    return len(written) + _HTML_EXTRA_BYTES * escapes


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return xxh3 hashes of a prompt's growing prefixes, block by block."""
    state = xxhash.xxh3_64()
    hashes: list[int] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(hashes) == MAX_BLOCKS:
            break
        state.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(state.intdigest())
    return tuple(hashes)


def _bytes(text: str) -> int:
    # JSON may carry lone surrogates; a tokenizer sees each as three bytes at the most.
    return len(text.encode('utf-8', 'surrogatepass'))
