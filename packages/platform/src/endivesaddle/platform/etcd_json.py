"""The messages of the etcd v3 JSON gateway: base64 keys, integers as strings."""

import base64
from collections.abc import Sequence
from typing import Any, NamedTuple

from endivesaddle.fleet.ports import Stored

ALL_KEYS = b'\0'
"""As key and as range end: selects all keys."""


class Page(NamedTuple):
    """One reply to a range request; ``more`` is true if keys remain beyond the limit."""

    entries: Sequence[Stored]
    more: bool
    revision: int


class WatchMessage(NamedTuple):
    """One message of a watch; ``end_reason`` is the reason it ended ('' while it is open)."""

    entries: Sequence[Stored]
    end_reason: str


def encode(raw: bytes) -> str:
    """Return bytes in the encoding of the gateway."""
    return base64.b64encode(raw).decode()


def decode(text: str) -> bytes:
    """Return the bytes that a text of the gateway encodes."""
    return base64.b64decode(text)


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with ``prefix``."""
    stem = prefix.rstrip(b'\xff')
    if not stem:
        return ALL_KEYS
    return stem[:-1] + bytes((stem[-1] + 1,))


def next_key(key: bytes) -> bytes:
    """Return the first key after ``key``."""
    return b'%b\0' % key


def read_request(key: str) -> dict[str, Any]:
    """Return the request for one key."""
    return {'key': encode(key.encode())}


def page_request(prefix: bytes, after_key: bytes, limit: int, revision: int) -> dict[str, Any]:
    """Return the request for a page of keys after ``after_key``, as of ``revision`` (0: now)."""
    start = next_key(after_key) if after_key else prefix
    return {
        'key': encode(start or ALL_KEYS),
        'range_end': encode(prefix_end(prefix)),
        'limit': str(limit),
        'revision': str(revision),
    }


def swap_request(key: str, raw: bytes, version: int, lease_id: int) -> dict[str, Any]:
    """Return the request to write a key if it is at ``version`` and else to read it."""
    name = encode(key.encode())
    put = {'key': name, 'value': encode(raw), 'lease': str(lease_id)}
    compare = {'key': name, 'target': 'MOD', 'result': 'EQUAL', 'mod_revision': str(version)}
    return {
        'compare': [compare],
        'success': [{'request_put': put}],
        'failure': [{'request_range': {'key': name}}],
    }


def watch_request(prefix: bytes, start_revision: int) -> dict[str, Any]:
    """Return the request for all changes of a prefix from a revision on.

    The store also sends progress messages, which show that the watch is open.
    """
    wanted = {
        'key': encode(prefix or ALL_KEYS),
        'range_end': encode(prefix_end(prefix)),
        'start_revision': str(start_revision),
        'progress_notify': True,
    }
    return {'create_request': wanted}


def revision_of(reply: dict[str, Any]) -> int:
    """Return the store's revision at the time of a reply."""
    return int(reply.get('header', {}).get('revision', 0))


def page(reply: dict[str, Any]) -> Page:
    """Decode the reply to a range request."""
    entries = [_stored(pair) for pair in reply.get('kvs', ())]
    return Page(entries, bool(reply.get('more')), revision_of(reply))


def conflicting_version(reply: dict[str, Any]) -> int:
    """Return the key's version from the reply to a failed swap (0: the key is absent)."""
    found = reply['responses'][0].get('response_range', {}).get('kvs', ())
    return _stored(found[0]).version if found else 0


def watch_message(message: dict[str, Any]) -> WatchMessage:
    """Decode one message of a watch."""
    failure = message.get('error')
    if failure:
        return WatchMessage((), str(failure))
    found = message.get('result', {})
    compacted = int(found.get('compact_revision', 0))
    if compacted:
        return WatchMessage((), f'compacted at {compacted}')
    if found.get('canceled'):
        return WatchMessage((), str(found.get('cancel_reason', 'cancelled by the store')))
    return WatchMessage([_stored_change(change) for change in found.get('events', ())], '')


def _stored(pair: dict[str, Any]) -> Stored:
    # The gateway omits empty fields, including an empty value.
    key = decode(pair['key']).decode()
    return Stored(key, decode(pair.get('value', '')), int(pair['mod_revision']))


def _stored_change(change: dict[str, Any]) -> Stored:
    stored = _stored(change['kv'])
    return stored._replace(value=None) if change.get('type') == 'DELETE' else stored
