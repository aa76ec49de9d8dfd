"""Subject: the request life cycle, from a caller's call to its bill and record."""

from typing import Any

from endivesaddle.fleet.sentinels import NOT_RUN
from endivesaddle.stand_ins import virtual
from endivesaddle.wire import holders_pb2
from subjects import (
    requests_holder_plays,
    requests_plays_holders,
    requests_plays_links,
    requests_plays_sidecars,
)
from subjects.requests_fakes import TOKENS
from subjects.requests_fleet import Fleet, Received, fleet
from subjects.requests_plays import KEY, PLAYS

ADDED_BY = (
    requests_holder_plays,
    requests_plays_holders,
    requests_plays_links,
    requests_plays_sidecars,
)
"""The modules whose import fills the registry of plays."""
DONE = 'data: [DONE]\n\n'


class Requests:
    """Plays one scenario on a fleet and keeps the results."""

    def __init__(self, **settings: Any) -> None:
        """Initialize with no scenario played."""
        self._fleet: Fleet | None = None
        self._settings = settings

    @property
    def fleet(self) -> Fleet:
        """The fleet in its state at the end of the play."""
        assert self._fleet is not None, 'nothing was played'
        return self._fleet

    def play(self, name: str) -> None:
        """Play a scenario in virtual time."""
        virtual.run(lambda: self._play(name))

    def received(self, caller: str) -> Received:
        """Return what a caller received."""
        return self.fleet.received[caller]

    def check_whole(self, caller: str, server: str) -> None:
        """Compare an answer with the one whole answer of a server."""
        received = self.received(caller)
        tokens = ''.join(f'{server}{index} ' for index in range(TOKENS))
        assert received.refusal is None, received
        assert received.whole, received
        assert received.body.decode() in {tokens, tokens + DONE}, received

    def check_refused(self, caller: str, code: str, not_run: str) -> None:
        """Compare a refusal."""
        refusal = self.received(caller).refusal
        assert refusal is not None, self.received(caller)
        assert (refusal.code, refusal.not_run) == (code, not_run), refusal

    def runs(self) -> int:
        """Return how often backend servers received the request."""
        return self.fleet.seen[KEY]

    def billed(self) -> list[int]:
        """Return the bills of the request."""
        return [tokens for _, key, tokens in self.fleet.ledger.bills if key == KEY]

    def reserved(self) -> int:
        """Return the number of tokens that stay reserved."""
        return sum(self.fleet.ledger.reserved.values())

    def check_promises(self) -> None:
        """Check what must hold in every play.

        At most one bill, no answer mixed from two servers, no "not run" for a request that a
        server has received, and one report of the end of each admission.
        """
        assert len(self.billed()) <= 1, self.billed()
        answers = [received.body.decode() for received in self.fleet.received.values()]
        assert all(len(_servers(answer)) <= 1 for answer in answers), answers
        refusals = [
            received.refusal for received in self.fleet.received.values() if received.refusal
        ]
        if self.runs() and len(refusals) == len(self.fleet.received):
            assert NOT_RUN not in {refusal.not_run for refusal in refusals}, refusals
        for router in self.fleet.routers.values():
            assert router.routing.admitted == router.routing.reported_ends, router.identity

    def found(self) -> holders_pb2.Record:
        """Return the one record that was found."""
        records = list(self.fleet.found.records)
        assert len(records) == 1, records
        return records[0]

    async def _play(self, name: str) -> None:
        async with fleet(**self._settings) as running:
            self._fleet = running
            await PLAYS.find(name)(running)


def _servers(answer: str) -> set[str]:
    """Return which servers an answer's tokens come from."""
    return {word[0] for word in answer.split() if word[1:].isdigit()}
