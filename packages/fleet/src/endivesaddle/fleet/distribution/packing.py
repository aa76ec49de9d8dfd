"""Parts on their way between instances, compressed.

A head is digests and names, a part rows of JSON: together they shrink to less
than half, and a change goes to a thousand instances some 1,400 times a day.
"""

import zlib

from endivesaddle.wire import members_pb2

_LEVEL = 1
_MOST_BYTES = 64 * 1024 * 1024


class PackingError(Exception):
    """A message's packed part is damaged or larger than any configuration."""


def packed_push(message: members_pb2.PushRequest) -> members_pb2.PushRequest:
    """Return a push whose head and parts are compressed."""
    packed = zlib.compress(message.SerializeToString(), _LEVEL)
    return members_pb2.PushRequest(revision=message.revision, packed=packed)


def packed_reply(message: members_pb2.PullReply) -> members_pb2.PullReply:
    """Return a reply to a pull whose head and parts are compressed."""
    packed = zlib.compress(message.SerializeToString(), _LEVEL)
    return members_pb2.PullReply(revision=message.revision, packed=packed)


def unpacked_push(message: members_pb2.PushRequest) -> members_pb2.PushRequest:
    """Return a push as it was; raises ``PackingError``."""
    if not message.packed:
        return message
    return members_pb2.PushRequest.FromString(_inflated(message.packed))


def unpacked_reply(message: members_pb2.PullReply) -> members_pb2.PullReply:
    """Return a reply to a pull as it was; raises ``PackingError``."""
    if not message.packed:
        return message
    return members_pb2.PullReply.FromString(_inflated(message.packed))


def _inflated(packed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(packed, _MOST_BYTES)
    except zlib.error as error:
        raise PackingError(f'packed parts are damaged: {error}') from error
    if inflater.unconsumed_tail:
        raise PackingError(f'packed parts are larger than {_MOST_BYTES} bytes')
    return raw
