"""Subject: servers whose statements on whether a request ran can't be believed as they come.

Each behaviour is played by one server among sound ones.  A server that says ``not run`` truthfully
does not begin the request; the others begin it before they answer.
"""

import anyio

from endivesaddle.fleet.registry import Registry
from subjects.scripted_servers import (
    BY_CHUNKS,
    BY_CLOSE,
    EVENTS,
    ID,
    REFUSAL,
    Exchange,
    Reply,
    Script,
    events,
    sound,
)

behaviours: Registry[Script] = Registry('behaviour of a server')
EARLIER = 'an-earlier-request'
EVENTS_BEFORE_BREAK = 2
LATER_S = 0.05
PROMISES = (408, 421, 429, 503)


async def _run(exchange: Exchange) -> None:
    await exchange.read()
    exchange.begin()


def _plain(status: int) -> Script:
    """Return the script of a server that runs a request and answers with ``status``."""

    async def script(exchange: Exchange) -> None:
        await _run(exchange)
        exchange.send(Reply(status, (exchange.request_id,), b'failed'))

    return script


def _sealed(status: int) -> Script:
    """Return the script of a server that runs a request and refuses it with its seal."""

    async def script(exchange: Exchange) -> None:
        await _run(exchange)
        exchange.send(exchange.refusal(status)._replace(sealed=True))

    return script


def _register(status: int) -> None:
    """Register both behaviours with a status that means that the request did not run."""
    behaviours.add(f'ran, answers {status} without the header of a refusal')(_plain(status))
    sealed = f'ran, answers {status} with the header of a refusal and the seal'
    behaviours.add(sealed)(_sealed(status))


list(map(_register, PROMISES))


@behaviours.add('ran, answers 421 with the seal alone')
async def misdirected_sealed(exchange: Exchange) -> None:
    """Run the request and answer as another server would, with the seal."""
    await _run(exchange)
    exchange.send(Reply(421, (exchange.request_id,), b'failed', sealed=True))


@behaviours.add('ran, answers 500 with the header of a refusal and the seal')
async def failed_sealed(exchange: Exchange) -> None:
    """Run the request and answer a failure of its own as not run."""
    await _run(exchange)
    exchange.send(exchange.refusal(500)._replace(sealed=True))


@behaviours.add('ran, answers 200 with the header of a refusal')
async def success_refused(exchange: Exchange) -> None:
    """Run the request and answer it, with the header of a refusal."""
    await _run(exchange)
    exchange.send(exchange.answer()._replace(refused=True))


@behaviours.add('ran, answers 200 with the header of a refusal and no seal')
async def success_refused_unsealed(exchange: Exchange) -> None:
    """Run the request and answer it, with the header of a refusal in place of the seal."""
    await _run(exchange)
    exchange.send(exchange.answer()._replace(refused=True, sealed=False))


@behaviours.add('ran, refusal names two requests')
async def two_ids(exchange: Exchange) -> None:
    """Run the request, and send a refusal that names another one and it."""
    await _run(exchange)
    exchange.send(exchange.refusal()._replace(ids=(EARLIER, exchange.request_id)))


@behaviours.add('ran, refusal names two requests, its own first')
async def two_ids_own_first(exchange: Exchange) -> None:
    """Run the request, and send a refusal that names it and another one."""
    await _run(exchange)
    exchange.send(exchange.refusal()._replace(ids=(exchange.request_id, EARLIER)))


@behaviours.add('ran, refusal names no request')
async def no_id(exchange: Exchange) -> None:
    """Run the request, and send a refusal without an id."""
    await _run(exchange)
    exchange.send(exchange.refusal()._replace(ids=()))


@behaviours.add('ran, refusal with an empty id')
async def empty_id(exchange: Exchange) -> None:
    """Run the request, and send a refusal with an empty id."""
    await _run(exchange)
    exchange.send(exchange.refusal()._replace(ids=('',)))


@behaviours.add('ran, refusal names another request')
async def foreign_id(exchange: Exchange) -> None:
    """Run the request, and send a refusal of another one."""
    await _run(exchange)
    exchange.send(exchange.refusal()._replace(ids=(EARLIER,)))


@behaviours.add('ran, answers 421 that names another request')
async def foreign_misdirected(exchange: Exchange) -> None:
    """Run the request, and answer another one as another server would."""
    await _run(exchange)
    exchange.send(Reply(421, (EARLIER,), b'failed', refused=True))


@behaviours.add('ran, refusal in an interim response, then closes')
async def interim(exchange: Exchange) -> None:
    """Run the request, send an interim response with a refusal, and close."""
    await _run(exchange)
    head = (b'HTTP/1.1 103 Early', b'%s: %s' % (ID, exchange.request_id.encode()), REFUSAL)
    exchange.channel.writer.write(b'%s\r\n\r\n' % b'\r\n'.join(head))
    await exchange.channel.flush()
    exchange.channel.close()


@behaviours.add('ran, refusal in a trailer of 500')
async def trailer(exchange: Exchange) -> None:
    """Run the request, fail it, and send the header of a refusal behind the body."""
    await _run(exchange)
    own = (exchange.request_id,)
    exchange.send(Reply(500, own, b'failed', framing=BY_CHUNKS, trailer=True))


@behaviours.add('ran, the head of a refusal breaks off')
async def cut_head(exchange: Exchange) -> None:
    """Run the request, send a part of the head of a refusal, and close."""
    await _run(exchange)
    exchange.channel.writer.write(exchange.refusal().head()[:-2])
    await exchange.channel.flush()
    exchange.channel.close()


@behaviours.add('ran, refusal behind a complete answer without the seal')
async def behind(exchange: Exchange) -> None:
    """Run the request, answer it without the seal, and send a refusal in the same packet."""
    await _run(exchange)
    unsealed = exchange.answer()._replace(sealed=False)
    exchange.channel.writer.write(unsealed.encoded() + exchange.refusal().encoded())


@behaviours.add('ran, refusal behind an event')
async def behind_event(exchange: Exchange) -> None:
    """Run the request, send an event without the end of the stream, then a refusal."""
    await _run(exchange)
    own = exchange.request_id
    part = events(own, exchange.first_event, EVENTS_BEFORE_BREAK) if exchange.streamed else b'ha'
    size = b'%x\r\n%s\r\n' % (len(part), part)
    head = Reply(200, (own,), sealed=True, framing=BY_CHUNKS).head()
    exchange.channel.writer.writelines((head, size, exchange.refusal().encoded()))
    await exchange.channel.flush()
    exchange.channel.close()


@behaviours.add('ran, refusal in a trailer behind an event')
async def trailer_behind_event(exchange: Exchange) -> None:
    """Run the request, and end its stream within an event, with a refusal in the trailer."""
    await _run(exchange)
    part = events(exchange.request_id, exchange.first_event, EVENTS)[:-1]
    own = (exchange.request_id,)
    reply = Reply(200, own, part, sealed=True, framing=BY_CHUNKS, trailer=True)
    exchange.channel.writer.write(reply.encoded())


@behaviours.add('ran, closes without an answer')
async def closes(exchange: Exchange) -> None:
    """Run the request, and close."""
    await _run(exchange)
    exchange.channel.close()


@behaviours.add('ran, resets without an answer')
async def resets(exchange: Exchange) -> None:
    """Run the request, and reset the connection."""
    await _run(exchange)
    exchange.channel.reset()


@behaviours.add('ran later, closes before')
async def runs_later(exchange: Exchange) -> None:
    """Close, and run the request then."""
    await exchange.read()
    exchange.channel.close()
    await anyio.sleep(LATER_S)
    exchange.begin()


@behaviours.add('ran later, answers 503 without the header of a refusal')
async def answers_and_runs_later(exchange: Exchange) -> None:
    """Answer as full without stating that the request did not run, and run it then."""
    await exchange.read()
    exchange.send(Reply(503, (exchange.request_id,), b'full'))
    await anyio.sleep(LATER_S)
    exchange.begin()


@behaviours.add('ran, answers 503 without a length')
async def unframed(exchange: Exchange) -> None:
    """Run the request, and answer with a status that the close of the connection ends."""
    await _run(exchange)
    exchange.send(Reply(503, (exchange.request_id,), b'failed', framing=BY_CLOSE))
    exchange.channel.close()


@behaviours.add('refuses truthfully')
async def refuses(exchange: Exchange) -> None:
    """Refuse each request, and run none."""
    await exchange.read()
    exchange.send(exchange.refusal())


@behaviours.add('repeats each truthful refusal before the next answer')
async def repeats_refusals(exchange: Exchange) -> None:
    """Refuse every second request, and repeat each refusal before the next answer."""
    await exchange.read()
    replies = exchange.channel.replies
    if replies and replies[-1].refused:
        exchange.channel.writer.write(replies[-1].encoded())
        await exchange.channel.flush()
    if exchange.server.received % 2:
        exchange.send(exchange.refusal())
        return
    exchange.begin()
    exchange.send(exchange.answer())


@behaviours.add('repeats each truthful refusal on the idle connection')
async def repeats_idle(exchange: Exchange) -> None:
    """Refuse every second request of a connection, and repeat that soon after."""
    if exchange.number % 2:
        await sound(exchange)
        return
    await exchange.read()
    exchange.send(exchange.refusal())
    await exchange.channel.flush()
    exchange.send(exchange.refusal())


@behaviours.add('ran, closes, and no server accepts connections then')
async def ends_all(exchange: Exchange) -> None:
    """Run the request, and let all servers refuse connections from then on."""
    await _run(exchange)
    exchange.server.leave_alone()
    exchange.channel.close()


@behaviours.add('answers 200 to two requests with the body of the other')
async def success_two_ids(exchange: Exchange) -> None:
    """Run the request, and send a success that names another one and it."""
    await _run(exchange)
    body = events(EARLIER, 0, EVENTS) if exchange.streamed else b'for another'
    exchange.send(Reply(200, (EARLIER, exchange.request_id), body, sealed=True))
