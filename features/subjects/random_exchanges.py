"""Subject: servers that behave at random, and requests of every kind at random times.

Each draw depends on the seed, the request and the server alone, not on the order in which requests
arrive.  A server that refuses a request with a complete head that doesn't contradict itself tells
the truth; all else that it says may be false.
"""

import itertools
from collections.abc import Iterable, Sequence
from functools import partial
from random import Random
from typing import NamedTuple

import anyio

from subjects.refusal_proofs import KINDS, MOST_ATTEMPTS, ProofPlay, Router, Sent
from subjects.scripted_servers import (
    BY_CHUNKS,
    BY_CLOSE,
    BY_LENGTH,
    EVENTS,
    ID,
    REFUSAL,
    SUCCESSES,
    Exchange,
    Ledger,
    Reply,
    ScriptedServer,
    events,
    shortened,
    sound,
)

STATUSES = (200, 200, 201, 302, 400, 404, 408, 413, 421, 425, 429, 500, 502, 503, 503, 504)
NEVER = 'never'
BEFORE = 'before the answer'
AFTER = 'after the answer'
WHOLE = 'whole'
IN_HEAD = 'in the head'
IN_BODY = 'in the body'
METHODS = ('POST', 'POST', 'POST', 'POST', 'GET', 'PUT', 'HEAD')
CUTS = (WHOLE, WHOLE, WHOLE, WHOLE, IN_HEAD, IN_BODY)
CLOSE = 'close'
RESET = 'reset'
HALF_CLOSE = 'half-close'
KEEP = 'keep'
LEAVES = 'leaves'
VANISHES = 'vanishes'
RESTARTS = 'restarts'
STOPS = 'stops'
ENDS = (KEEP, KEEP, KEEP, KEEP, CLOSE, RESET, HALF_CLOSE)
MAX_DELAY_S = 0.03
LATE_S = 0.2
MAX_PAUSE_S = 0.06
INTERIM = (100, 102, 103)
LARGE_BODY_BYTES = 300_000
BODIES_BYTES = (0, 100_000, 3_000_000)
BODIES_PERCENT = (85, 10, 5)
ALL_SERVERS = 10
MIN_ODD = 5
CALLERS = 8
EACH_CALLS = 8
LEAVING_PERCENT = 6
PERCENT = 100
TRUTHFUL_PERCENT = 25
REFUSALS = (503, 503, 429, 421, 408, 400)
ROUNDS = 3


class Plan(NamedTuple):
    """How a server plays one request; shares and times were drawn from the seed.

    ``runs`` is when it begins the request.  ``early`` is whether it answers before it reads the
    body.  ``repeats`` is whether it sends its previous response on this connection once more before
    this one, ``again_s`` after which time it sends this one once more, -1 for never.
    """

    reply: Reply
    runs: str
    cut: str
    end: str
    delay_s: float
    early: bool
    interim: int
    interim_refused: bool
    repeats: bool
    again_s: float
    silent: bool


class RandomServer:
    """Plays each request of a server as its seed says."""

    def __init__(self, seed: str, odd_share: float) -> None:
        """Behave oddly in ``odd_share`` of the requests."""
        self._seed = seed
        self._odd_share = odd_share

    async def __call__(self, exchange: Exchange) -> None:
        """Play one request."""
        draw = Random(f'{self._seed}/{exchange.server.name}/{exchange.request_id}')
        exchange.body_bytes = draw.choices(BODIES_BYTES, BODIES_PERCENT)[0]
        if draw.random() >= self._odd_share:
            await sound(exchange)
            return
        exchange.ledger.odd += 1
        await _play(exchange, plan(draw, exchange))


def plan(draw: Random, exchange: Exchange) -> Plan:
    """Draw how to play a request."""
    reply = _reply(draw, exchange)
    drawn = Plan(
        reply,
        draw.choice((NEVER, BEFORE, BEFORE, BEFORE, AFTER, AFTER)),
        draw.choice(CUTS),
        draw.choice(ENDS),
        draw.choice((0.0, draw.uniform(0, MAX_DELAY_S), draw.uniform(0, LATE_S))),
        _chance(draw, 15),
        draw.choice(INTERIM) if _chance(draw, 20) else 0,
        _chance(draw, 60),
        _chance(draw, 40),
        _again_s(draw, reply),
        _chance(draw, 8),
    )
    if drawn.cut == IN_BODY and reply.framing == BY_CLOSE:
        # Only a reset tells that such a body is cut.
        drawn = drawn._replace(end=RESET)
    if drawn.cut == WHOLE and reply.framing == BY_CLOSE and drawn.end == KEEP:
        drawn = drawn._replace(end=CLOSE)
    states = reply.states_not_run(exchange.request_id)
    if states and drawn.cut != IN_HEAD and not drawn.silent:
        drawn = drawn._replace(runs=NEVER)
    if reply.status in SUCCESSES and reply.sealed and drawn.runs == NEVER:
        drawn = drawn._replace(runs=BEFORE)
    return drawn


def _again_s(draw: Random, reply: Reply) -> float:
    # Without a length or chunks, whatever follows is a part of the body.
    if reply.framing == BY_CLOSE or _chance(draw, 80):
        return -1
    return draw.choice((0, draw.uniform(0, MAX_DELAY_S)))


def _reply(draw: Random, exchange: Exchange) -> Reply:
    """Draw a response: what it says of the request, and how it is framed."""
    if _chance(draw, TRUTHFUL_PERCENT):
        return exchange.refusal(draw.choice(REFUSALS))
    ids = _ids(draw, exchange)
    status = draw.choice(STATUSES)
    own = ids[0] if ids and ids[0] else 'nobody'
    body = exchange.text(own)
    if exchange.streamed and status in SUCCESSES:
        last = EVENTS if _chance(draw, 70) else draw.randrange(EVENTS)
        body = events(own, exchange.first_event, last)
        if last < EVENTS:
            # It breaks off within an event, so that nobody takes it for complete.
            body += b'id: %d\ndata: ha' % last
    return Reply(
        status,
        ids,
        body,
        refused=_chance(draw, 40),
        sealed=_chance(draw, 80 if status in SUCCESSES else 30),
        framing=draw.choice((BY_LENGTH, BY_LENGTH, BY_CHUNKS, BY_CLOSE)),
        trailer=_chance(draw, 30),
    )


def _ids(draw: Random, exchange: Exchange) -> tuple[str, ...]:
    own = exchange.request_id
    earlier = draw.choice(exchange.channel.ids or ['unknown'])
    kinds = ((own,), (earlier,), ('unknown',), (), ('',), (own, earlier), (earlier, own))
    return draw.choices(kinds, (60, 10, 4, 6, 4, 8, 8))[0]


async def _play(exchange: Exchange, drawn: Plan) -> None:
    if not drawn.early:
        await exchange.read()
    if drawn.runs == BEFORE:
        exchange.begin()
    await anyio.sleep(drawn.delay_s)
    if not drawn.silent:
        await _answer(exchange, drawn)
    if drawn.again_s >= 0 and drawn.cut == WHOLE and not drawn.silent:
        await anyio.sleep(drawn.again_s)
        exchange.channel.writer.write(drawn.reply.encoded())
    await _end(exchange, drawn)
    if drawn.runs == AFTER:
        await anyio.sleep(drawn.delay_s)
        exchange.begin()


async def _answer(exchange: Exchange, drawn: Plan) -> None:
    channel = exchange.channel
    if drawn.repeats and channel.replies:
        exchange.note(f'repeated {shortened(channel.replies[-1])}')
        channel.writer.write(channel.replies[-1].encoded())
        await channel.flush()
    if drawn.interim:
        lines = [b'HTTP/1.1 %d Interim' % drawn.interim]
        if drawn.interim_refused:
            lines.extend((b'%s: %s' % (ID, exchange.request_id.encode()), REFUSAL))
        channel.writer.write(b'%s\r\n\r\n' % b'\r\n'.join(lines))
    if drawn.cut == WHOLE:
        exchange.send(drawn.reply)
        return
    head = drawn.reply.head()
    whole = drawn.reply.encoded()
    # Half of a body, or of a head, without the end of the last line.
    kept = len(head) + len(drawn.reply.body) // 2 if drawn.cut == IN_BODY else len(head) - 4
    exchange.note(f'cut {drawn.cut} {shortened(drawn.reply)}')
    channel.writer.write(whole[:kept])
    await channel.flush()


async def _end(exchange: Exchange, drawn: Plan) -> None:
    channel = exchange.channel
    how = drawn.end
    if how == KEEP and (drawn.cut != WHOLE or drawn.silent):
        how = CLOSE
    exchange.note(f'{how}, runs {drawn.runs}, interim {drawn.interim} {drawn.interim_refused}')
    await channel.flush()
    if how == CLOSE:
        channel.close()
    elif how == RESET:
        channel.reset()
    elif how == HALF_CLOSE:
        channel.half_close()


def _chance(draw: Random, percent: int) -> bool:
    return draw.randrange(PERCENT) < percent


class RandomPlays:
    """The plays of some seeds, each with its own router, servers and callers."""

    def __init__(self, seeds: Iterable[int]) -> None:
        """Initialize without a play."""
        self.requests = 0
        self.odd = 0
        self.broken: list[str] = []
        self._seeds = seeds

    def play(self) -> None:
        """Play all seeds."""
        for seed in self._seeds:
            for number in range(ROUNDS):
                self._play(f'{seed}.{number}')

    def _play(self, seed: str) -> None:
        play = random_play(seed)
        play.play(random_requests(seed))
        self.requests += len(play.told)
        self.odd += play.ledger.odd
        self.broken.extend(f'seed {seed}: {text}' for text in play.broken())


def random_play(seed: str) -> ProofPlay:
    """Return a play of servers of which some behave at random."""
    draw = Random(seed)
    ledger = Ledger()
    servers = [ScriptedServer(f'life-{number}', ledger) for number in range(ALL_SERVERS)]
    odd = draw.choice((ALL_SERVERS, draw.randint(MIN_ODD, ALL_SERVERS)))
    for server in servers[:odd]:
        server.script = RandomServer(seed, draw.uniform(0.3, 1))
        server.accepts = draw.choice((1.0, 1.0, 0.9, 0.5))
        server.refuses_after = draw.choice((0, 0, 0, draw.randint(1, 20)))
        server.draw = Random(f'{seed}/{server.name}')
    play = ProofPlay(servers, ledger, draw.choice((2, 2, 5, 1000)))
    play.change = partial(_change, Random(f'{seed}/changes'), servers)
    return play


async def _change(draw: Random, servers: Sequence[ScriptedServer], router: Router) -> None:
    """Let servers leave, vanish and come again, and the router refuse requests for a while."""
    lifetimes = [server.name for server in servers]
    for count in itertools.count():
        await anyio.sleep(draw.uniform(0, MAX_PAUSE_S))
        number = draw.randrange(len(servers))
        server = servers[number]
        event = draw.choice((LEAVES, VANISHES, RESTARTS, RESTARTS, RESTARTS, STOPS))
        if event == LEAVES:
            router.declare_server(server, lifetimes[number], leaving=True)
        elif event == VANISHES:
            router.remove_server(lifetimes[number])
        elif event == RESTARTS:
            router.remove_server(lifetimes[number])
            lifetimes[number] = f'{server.name}-{count}'
            router.declare_server(server, lifetimes[number])
        else:
            router.refuse(stopping=True)
            await anyio.sleep(draw.uniform(0, MAX_DELAY_S))
            router.refuse(stopping=False)


def random_requests(seed: str) -> Sequence[Sequence[Sent]]:
    """Return the requests of each caller."""
    draw = Random(f'{seed}/requests')
    return [[_sent(draw, f'{seed}-{one}-{number}') for number in range(EACH_CALLS)]
            for one in range(CALLERS)]  # fmt: skip


def _sent(draw: Random, request_id: str) -> Sent:
    return Sent(
        request_id,
        draw.choices(tuple(KINDS), (3, 2, 3, 2))[0],
        draw.randint(1, MOST_ATTEMPTS),
        draw.choice((1, draw.randint(1, 60), draw.randint(1, 300), 2000, 2000)),
        draw.choice((0, 10, 10, LARGE_BODY_BYTES)),
        draw.uniform(0.001, 0.1) if _chance(draw, LEAVING_PERCENT) else 0.0,
        draw.choice((0, 0, 0, draw.uniform(0, LATE_S))),
        draw.choice(METHODS),
    )
