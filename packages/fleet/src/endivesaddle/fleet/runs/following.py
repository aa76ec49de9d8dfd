"""Send a kept answer to a router, from any offset."""

from collections.abc import AsyncIterator
from typing import Final

from endivesaddle.fleet.runs.run import UNKNOWN, Past, Run, dropped_reason
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.wire import runs_pb2

NO_RUN: Final = 'no_such_run'
OTHER_ATTEMPT: Final = 'other_attempt'
DROPPED: Final = 'answer_dropped'


async def follow(
    settings: RunSettings, message: runs_pb2.FollowRequest, run: Run | Past | None
) -> AsyncIterator[runs_pb2.Chunk]:
    """Yield the answer of a run from an offset to its end.

    Every chunk names request, attempt and offset, so that a late one of another
    attempt can be told.  While nothing comes, keep-alives tell a slow run from a
    silent link; the sidecar wakes all followers for them at once, because a
    timeout of its own for each wait was a third of the cost of a token.
    """
    if run is None:
        yield _ended(message, NO_RUN, 'no such run is known here')
        return
    if message.attempt not in {0, run.attempt}:
        yield _ended(message, OTHER_ATTEMPT, f'attempt {run.attempt} runs here')
        return
    if isinstance(run, Past):
        yield _ended(message, DROPPED, run.reason, run.used_tokens)
        return
    run.followers += 1
    try:
        async for chunk in _chunks(settings, message.offset_bytes, run):
            yield chunk
    finally:
        run.followers -= 1


async def _chunks(
    settings: RunSettings, offset_bytes: int, run: Run
) -> AsyncIterator[runs_pb2.Chunk]:
    answer = run.answer
    head_sent = False
    while True:
        await answer.wait_beyond(offset_bytes, head_sent)
        chunk = _next_chunk(settings, offset_bytes, run)
        if answer.head is not None and not head_sent:
            chunk.head.CopyFrom(answer.head)
            head_sent = True
        offset_bytes += len(chunk.data)
        if chunk.HasField('end'):
            run.fetched = run.fetched or chunk.end.code != DROPPED
            yield chunk
            return
        yield chunk


def _next_chunk(settings: RunSettings, offset_bytes: int, run: Run) -> runs_pb2.Chunk:
    answer = run.answer
    chunk = runs_pb2.Chunk(
        request_key=run.key,
        attempt=run.message.attempt,
        offset_bytes=offset_bytes,
        data=answer.read(offset_bytes, settings.chunk_bytes),
    )
    end = answer.end
    if end is None:
        chunk.keep_alive = not chunk.data
    elif offset_bytes + len(chunk.data) >= answer.length_bytes:
        chunk.end.CopyFrom(end)
    elif answer.dropped:
        chunk.end.CopyFrom(_dropped(end))
    return chunk


def _dropped(end: runs_pb2.End) -> runs_pb2.End:
    """Return the end for a router that comes after the bytes are gone.

    The outcome must not read "answered": the router would take what it has for
    the whole answer.
    """
    return runs_pb2.End(
        outcome=UNKNOWN,
        used_tokens=end.used_tokens,
        length_bytes=end.length_bytes,
        code=DROPPED,
        reason=dropped_reason(end),
    )


def _ended(
    message: runs_pb2.FollowRequest, code: str, reason: str, used_tokens: int = 0
) -> runs_pb2.Chunk:
    return runs_pb2.Chunk(
        request_key=message.request_key,
        attempt=message.attempt,
        offset_bytes=message.offset_bytes,
        end=runs_pb2.End(outcome=UNKNOWN, code=code, reason=reason, used_tokens=used_tokens),
    )
