"""Decode values that others wrote: the only place that calls the decoders of the libraries.

Each decoder raises ``UnreadableValue`` for whatever its library can't read.  The libraries
themselves raise several unrelated errors: ``RecursionError`` for deep nesting, also in a field that
nobody reads, and ``ValueError`` for numbers with too many digits.
"""

import tomllib
import zlib
from typing import Any, Generic, TypeVar, cast

import msgspec
from google.protobuf.message import DecodeError, Message

MAX_DECOMPRESSED_BYTES = 1 << 26
"""Maximum size of a decompressed value: a few kilobytes can expand to gigabytes."""

Value = TypeVar('Value')
MessageType = TypeVar('MessageType', bound=Message)


class UnreadableValue(ValueError):
    """A value that isn't in its format, or not of the expected type."""


class JsonDecoder(Generic[Value]):
    """Decodes JSON documents into values of one type."""

    def __init__(self, value_type: Any) -> None:
        """Initialize for ``value_type``, a type that ``msgspec`` supports."""
        self._decoder = msgspec.json.Decoder(value_type)

    def decode(self, document: bytes | str) -> Value:
        """Return the value; raise ``UnreadableValue`` if it can't be decoded."""
        try:
            return cast('Value', self._decoder.decode(document))
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise _unreadable(error) from error


_any_json: JsonDecoder[Any] = JsonDecoder(Any)


def decode_json(document: bytes | str) -> Any:
    """Return the value of a JSON document of any type; raises ``UnreadableValue``."""
    return _any_json.decode(document)


MESSAGE_ERRORS = (DecodeError, RecursionError)
"""What the library raises for a protobuf message that it can't read."""


def convert(value: Any, value_type: type[Value], *, strict: bool = False) -> Value:
    """Return a decoded value as ``value_type``; raises ``UnreadableValue``.

    Unless ``strict``, whole numbers may have a fraction of zero: other writers don't tell 5 from
    5.0.
    """
    try:
        return msgspec.convert(value, value_type, strict=strict)
    except (msgspec.MsgspecError, RecursionError, ValueError, TypeError) as error:
        raise _unreadable(error) from error


def decode_toml(document: str) -> dict[str, Any]:
    """Return the tables of a TOML document; raises ``UnreadableValue``."""
    try:
        return tomllib.loads(document)
    except (RecursionError, ValueError) as error:
        raise _unreadable(error) from error


def decode_message(document: bytes, message_type: type[MessageType]) -> MessageType:
    """Return a protobuf message; raises ``UnreadableValue``."""
    try:
        return message_type.FromString(document)
    except (DecodeError, RecursionError, ValueError) as error:
        raise _unreadable(error) from error


def decompress(compressed: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Return decompressed bytes; raises ``UnreadableValue`` if damaged, incomplete or too long."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(compressed, max_bytes)
    except zlib.error as error:
        raise _unreadable(error) from error
    if not decompressor.eof:
        raise UnreadableValue(f'incomplete, or longer than {max_bytes} bytes')
    return decompressed


def _unreadable(error: Exception) -> UnreadableValue:
    return UnreadableValue(f'{type(error).__name__}: {error}')
