"""The thinnest of fronts: claim at a holder, start at a sidecar, wait for the end."""

from typing import NamedTuple

import anyio
import xxhash

from endivesaddle.fleet.errors import PeerNoReply
from endivesaddle.stand_ins.budget_fleet import BudgetFleet, FleetRouter
from endivesaddle.stand_ins.budget_sidecars import LOST, Work
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2

SEALED = 'epoch_sealed'
_PAUSE_S = 0.05
_CALL_S = 1.0


class Outcome(NamedTuple):
    """What a caller saw: ``code`` is '' for an answer."""

    code: str
    at_unix_s: float


class BudgetFront:
    """Requests as they enter one router."""

    def __init__(self, fleet: BudgetFleet, router: FleetRouter) -> None:
        """Enter at ``router``."""
        self._fleet = fleet
        self._router = router
        self._silent: dict[str, set[str]] = {}

    async def serve(self, work: Work) -> Outcome:
        """Claim at the nearest holder that answers, and run."""
        ended = self._fleet.truth.expect(work)
        while True:
            reply = await self._claim_anywhere(work)
            if reply is None:
                return Outcome('no_holder', self._now_s())
            if reply.verdict == 'refused':
                return Outcome(reply.code, self._now_s())
            code = await self._start(work, reply.record)
            if not code:
                await ended.wait()
            # A sidecar that has sealed the epoch didn't run it: claim anew.
            if code != SEALED:
                return Outcome(code, self._now_s())
            await anyio.sleep(_PAUSE_S)

    def _now_s(self) -> float:
        return self._fleet.clock.now_s()

    async def _claim_anywhere(self, work: Work) -> holders_pb2.ClaimReply | None:
        own = self._router.identity.data_centre
        order = sorted(self._fleet.places, key=lambda name: (name != own, name))
        while self._now_s() <= work.deadline_unix_s:
            for data_centre in order:
                reply = await self._claim(work, data_centre)
                if reply is not None:
                    self._release_others(work, data_centre)
                    return reply
            await anyio.sleep(_PAUSE_S)
        return None

    def _release_others(self, work: Work, granted: str) -> None:
        # A holder whose answer was lost may have reserved; nothing runs under that.
        for data_centre in self._silent.pop(work.request_key, set()) - {granted}:
            self._fleet.tasks.start_soon(self._release, work, data_centre, 0)

    async def _claim(self, work: Work, data_centre: str) -> holders_pb2.ClaimReply | None:
        address = self._router.budgets.holder_address(work.account, data_centre)
        message = holders_pb2.ClaimRequest(
            request_key=work.request_key,
            account=work.account,
            bound_tokens=work.bound_tokens,
            deadline_unix_s=work.deadline_unix_s,
        )
        # A holder that is gone is known by the silence of its connection, not by the
        # caller's deadline: half of what is left is kept for another data centre.
        left_s = max(0, work.deadline_unix_s - self._now_s())
        try:
            reply = await self._router.peers.call(
                address, rpcs.CLAIM, message, self._now_s() + left_s / 2 + _CALL_S
            )
        except PeerNoReply:
            self._silent.setdefault(work.request_key, set()).add(data_centre)
            return None
        except LOST:
            return None
        return None if reply.verdict == 'not_holder' else reply

    async def _start(self, work: Work, record: holders_pb2.Record) -> str:
        message = runs_pb2.StartRequest(
            request_key=work.request_key,
            account=work.account,
            shard=record.shard,
            data_centre=record.data_centre,
            epoch=record.epoch,
            bound_tokens=work.bound_tokens,
            batch=record.batch,
        )
        sidecar = self._fleet.sidecars[self._choose(work)]
        try:
            reply = await self._router.peers.call(
                sidecar.member.address, rpcs.START, message, self._now_s() + _CALL_S
            )
        except LOST:
            return 'sidecar_lost'
        if reply.verdict != 'started':
            self._fleet.tasks.start_soon(self._release, work, record.data_centre, record.epoch)
        return reply.code

    def _choose(self, work: Work) -> str:
        own = self._router.identity.data_centre
        near = [
            name
            for name, sidecar in self._fleet.sidecars.items()
            if sidecar.member.data_centre == own
        ]
        return near[xxhash.xxh3_64_intdigest(work.request_key.encode()) % len(near)]

    async def _release(self, work: Work, data_centre: str, epoch: int) -> None:
        """Release a reservation that nothing runs under; epoch 0 is the present one."""
        message = holders_pb2.SettleRequest(
            request_key=work.request_key,
            account=work.account,
            epoch=epoch,
            data_centre=data_centre,
        )
        while True:
            address = self._router.budgets.holder_address(work.account, data_centre)
            deadline_unix_s = self._now_s() + _CALL_S
            try:
                reply = await self._router.peers.call(
                    address, rpcs.SETTLE, message, deadline_unix_s
                )
            except LOST:
                await anyio.sleep(_CALL_S)
            else:
                if reply.settled:
                    return
                await anyio.sleep(_CALL_S)
