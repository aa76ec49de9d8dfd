"""Subject: documents with an odd value in one field, generated from the types that read them."""

import copy
import json
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

MARK = '@odd@'
DIGITS = 400
"""More than a float holds; the interpreter still converts them."""

NUMBERS = MappingProxyType(
    {
        'negative': b'-1',
        'below 64 bits': b'-9223372036854775809',
        'beyond 31 bits': b'2147483648',
        'beyond 32 bits': b'4294967296',
        'beyond 63 bits': b'9223372036854775808',
        'beyond 64 bits': b'18446744073709551616',
        'of 400 digits': b'9' * DIGITS,
        'of 5000 digits': b'9' * 5000,
        'fractional': b'0.5',
        'tiny': b'5e-324',
        'huge': b'1.7e308',
        'beyond floats': b'1e400',
        'NaN': b'NaN',
        'infinite': b'Infinity',
        'the text nan': b'"nan"',
        'the text inf': b'"inf"',
        'true': b'true',
    }
)
"""JSON texts, by name."""

TEXTS = MappingProxyType(
    {
        'empty': '',
        'a line break': 'a\r\nx-other: 1',
        'a line break at the end': 'a\n',
        'unicode': '\u0434\u0430',
        'a null character': 'a\0',
        'of 300 characters': 'a' * 300,
        'of 100,000 characters': 'a' * 100_000,
    }
)

ADDRESSES = MappingProxyType(
    {
        **TEXTS,
        'a port out of range': '127.0.0.1:70000',
        'port 0': '127.0.0.1:0',
        'a negative port': '127.0.0.1:-1',
        'a port of 400 digits': f'127.0.0.1:{"9" * DIGITS}',
        'a port of 5000 digits': f'127.0.0.1:{"9" * 5000}',
        'a fraction as port': '127.0.0.1:8.5',
        'no port': '127.0.0.1',
        'an empty port': '127.0.0.1:',
        'no host': ':80',
        'a null character in the host': '\0:80',
        'a scheme': 'http://127.0.0.1:80',
        'IPv6': '[::1]:80',
        'IPv6 without brackets': '::1:80',
        'a line break behind the port': '127.0.0.1:80\n',
        'a line break in the host': '127.0.0.1\r\n:80',
        'a host of 300 characters': f'{"a" * 300}:80',
        'an empty label': 'a..b:80',
        'a host in unicode': '\u0434.example:80',
        'digits in unicode': '\u0661\u0662\u0667.0.0.1:\u0668\u0660',
    }
)
"""Texts that name no "ip:port"."""


class OddDocument(NamedTuple):
    """A document with one odd value; ``path`` names its field."""

    path: str
    value: str
    document: bytes


def odd_numbers(value_type: Any, sound: Any) -> Iterator[OddDocument]:
    """Yield a sound document with each numeric field of its type set to each odd number."""
    for path in number_paths(msgspec.inspect.type_info(value_type), sound):
        changed = _changed(sound, path, MARK)
        for name, text in NUMBERS.items():
            document = changed.replace(f'"{MARK}"'.encode(), text)
            yield OddDocument('.'.join(map(str, path)), name, document)


def odd_texts(sound: Any, path: tuple[Any, ...], texts: Any) -> Iterator[OddDocument]:
    """Yield a sound document with one field set to each text."""
    for name, text in texts.items():
        yield OddDocument('.'.join(map(str, path)), name, _changed(sound, path, text))


def number_paths(info: Any, sound: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all numeric fields of a type; ``sound`` has an example of each."""
    kind = type(info).__name__
    if kind in {'IntType', 'FloatType'}:
        return [path]
    if kind == 'UnionType':
        inner = [number_paths(one, sound, path) for one in info.types]
        return list(dict.fromkeys(found for paths in inner for found in paths))
    if kind in {'StructType', 'NamedTupleType'}:
        return _field_paths(info, sound, path)
    if kind == 'DictType':
        key, example = next(iter(sound.items()))
        return number_paths(info.value_type, example, (*path, key))
    if kind in {'ListType', 'VarTupleType', 'SetType', 'FrozenSetType'}:
        return number_paths(info.item_type, sound[0], (*path, 0)) if sound else []
    return []


def _field_paths(info: Any, sound: Any, path: tuple[Any, ...]) -> list[tuple[Any, ...]]:
    found: list[tuple[Any, ...]] = []
    for number, field in enumerate(info.fields):
        key = field.encode_name if isinstance(sound, dict) else number
        found.extend(number_paths(field.type, sound[key], (*path, key)))
    return found


def _changed(sound: Any, path: tuple[Any, ...], value: Any) -> bytes:
    document = copy.deepcopy(sound)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return json.dumps(document).encode()
