"""Settle ended runs at their holder, however often it takes."""

from collections.abc import Iterator
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import FleetView, Peers
from endivesaddle.fleet.runs.events import SETTLE_DELAYED
from endivesaddle.fleet.runs.run import FAILED, Run, Settling
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.wire import holders_pb2, rpcs

GRACE_S = 0.001
"""Least pause, so that a holder that answers "not me" in a circle costs little."""


class Retry(NamedTuple):
    """When a settlement is tried next, and how long the pause after it grows."""

    at_unix_s: float
    pause_s: float


class Settlement:
    """One task for each ended run, until a holder has acknowledged its bill.

    Settling is idempotent under the request key, so a lost acknowledgement is
    resolved by sending it again.
    """

    def __init__(self, settings: RunSettings, peers: Peers, view: FleetView, clock: Clock) -> None:
        """Settle through ``peers``."""
        self._settings = settings
        self._peers = peers
        self._view = view
        self._clock = clock

    async def settle(self, run: Run) -> None:
        """Settle one run; returns when it is done or left to a later attempt."""
        await self._wait_for_another_attempt(run)
        retry = Retry(self._clock.now_s(), self._settings.settle_retry_s)
        while run.settling is Settling.DUE:
            await anyio.sleep(left_s(self._clock, retry.at_unix_s))
            if await self._try_holders(run):
                break
            SETTLE_DELAYED.log(request_key=run.key, retry_s=retry.pause_s)
            longest_s = self._settings.settle_retry_most_s
            retry = Retry(self._clock.now_s() + retry.pause_s, min(retry.pause_s * 2, longest_s))

    async def _wait_for_another_attempt(self, run: Run) -> None:
        # A failed attempt may be run again under the same reservation, here or
        # elsewhere.  Settled at once it would free the reservation under the
        # attempt that runs; never settled it would strand the tokens of a
        # request whose router died.  A holder ignores it when a later attempt
        # was dispatched since.
        end = run.answer.end
        if end is not None and end.outcome == FAILED:
            due_unix_s = run.ended_unix_s + self._settings.settle_failed_s
            await anyio.sleep(left_s(self._clock, due_unix_s))

    async def _try_holders(self, run: Run) -> bool:
        asked: set[str] = set()
        named = run.message.holder
        for address in self._candidates(run):
            while address and address not in asked:
                asked.add(address)
                named = await self._try(run, address)
                if run.settling is not Settling.DUE:
                    return True
                address = named
        return False

    def _candidates(self, run: Run) -> Iterator[str]:
        """Yield the holder of the claim, then any router, which knows the holder.

        Those of the claim's data centre come first: its holder is among them.
        """
        yield run.message.holder
        near = run.message.data_centre
        routers = self._view.members('router')
        yield from (member.address for member in routers if member.data_centre == near)
        yield from (member.address for member in routers if member.data_centre != near)

    async def _try(self, run: Run, address: str) -> str:
        """Send the bill to one address; return where it says the holder is."""
        deadline_unix_s = self._clock.now_s() + self._settings.settle_deadline_s
        try:
            reply = await self._peers.call(address, rpcs.SETTLE, _bill(run), deadline_unix_s)
        except (PeerRefused, PeerNoReply, PeerUnreachable):
            return ''
        if reply.settled and run.settling is Settling.DUE:
            run.settling = Settling.DONE
            run.step(self._clock.now_s(), 'settled', f'billed {reply.billed_tokens}')
        return reply.holder


def _bill(run: Run) -> holders_pb2.SettleRequest:
    record = run.record()
    return holders_pb2.SettleRequest(
        request_key=run.key,
        account=run.message.account,
        used_tokens=run.used_tokens,
        outcome=record.outcome,
        attempt=run.message.attempt,
        epoch=run.message.epoch,
        data_centre=run.message.data_centre,
        steps=run.steps,
        record=record,
    )
