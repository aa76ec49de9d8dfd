"""The platform's lagging list of instances, as a second source.

It only adds and confirms.  "leaving" there takes an instance out of choice at
once; "live" there never revives what the beats say is gone.
"""

from collections.abc import Awaitable, Callable, Mapping

import anyio

from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.membership import events, records
from endivesaddle.fleet.membership.state import State

ListReader = Callable[[], Awaitable[Mapping[str, str]]]


class InstanceList:
    """Read the list at the first collector; its record carries the word to all."""

    def __init__(self, state: State, read: ListReader | None) -> None:
        """Remember nothing; without ``read`` there is no list."""
        self._state = state
        self._read = read
        self._leaving: dict[str, int] = {}

    async def run(self, leads: Callable[[], bool]) -> None:
        """Read the list every few seconds while this router is the first collector."""
        while self._read is not None:
            if leads():
                await self._round(self._read)
            await anyio.sleep(self._state.settings.instance_list_s)

    async def _round(self, read: ListReader) -> None:
        try:
            listed = await read()
        except FleetError as error:
            events.LIST_UNREADABLE.log(error=str(error))
            return
        for instance, word in listed.items():
            self._take(instance, word == records.LEAVING)
        for instance in self._leaving.keys() - listed.keys():
            self._take(instance, False)

    def _take(self, instance: str, leaving: bool) -> None:
        state = self._state
        record = state.roster.find(instance)
        if record is None:
            return
        if not leaving:
            self._leaving.pop(instance, None)
        elif self._leaving.setdefault(instance, record.incarnation) != record.incarnation:
            # The list lags: it still speaks of the incarnation before this one.
            leaving = False
        if leaving != records.listed_leaving(record):
            changed = records.copied(record)
            changed.listed = record.listed + 1
            state.roster.put(changed, '')
