"""The platform's list of live and leaving instances, a second and delayed source.

A plain HTTP endpoint that answers ``[{"instance": "porto-a-r1", "state": "live"}]``;
states are ``live`` and ``leaving``, and an instance that is gone is not listed.  The list
lags, so it only supplements and confirms what heartbeats report.  Requests carry the
``ETag`` of the last response: at a thousand instances a full response has some 60 KB, which
every few seconds would exceed the limit of all control traffic.
"""

from collections.abc import AsyncGenerator
from typing import NamedTuple

import anyio
import httpx

from endivesaddle.fleet import events
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import FleetError
from endivesaddle.platform.replies import request
from endivesaddle.platform.settings import PlatformSettings

STATES = frozenset(('live', 'leaving'))
_decoder: JsonDecoder[list[dict[str, str]]] = JsonDecoder(list[dict[str, str]])

LIST_UNREADABLE = events.event(
    5003, 'WARNING', 'instance_list_lost', "the platform's list of instances could not be read"
)
UNKNOWN_STATE = events.event(
    5004, 'WARNING', 'instance_list_odd', "the platform's list has entries with an unknown state"
)


class ListedInstance(NamedTuple):
    """One instance of the platform's list; ``state`` is live or leaving."""

    instance: str
    state: str


class ListUnreadable(FleetError):
    """The list could not be fetched or decoded; the previous list remains valid."""


class InstanceList:
    """Client that polls the list of instances."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        client: httpx.AsyncClient | None = None,
    ) -> None:
        """Initialize without a connection; ``aclose`` also closes ``client``."""
        self._settings = settings
        self._clock = clock
        self._client = client or httpx.AsyncClient(trust_env=False)
        self._etag = ''
        self._last_list: tuple[ListedInstance, ...] = ()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def fetch(self, deadline_unix_s: float) -> tuple[ListedInstance, ...]:
        """Return the list; raises ``ListUnreadable``."""
        headers = {'if-none-match': self._etag} if self._etag else {}
        try:
            with anyio.fail_after(left_s(self._clock, deadline_unix_s)):
                url = self._settings.instance_list_url
                reply = await request(self._client, 'GET', url, headers=headers, timeout=None)
        except (httpx.HTTPError, TimeoutError) as error:
            raise ListUnreadable(str(error) or type(error).__name__) from error
        if reply.status_code == httpx.codes.NOT_MODIFIED:
            return self._last_list
        if reply.status_code != httpx.codes.OK:
            raise ListUnreadable(f'HTTP {reply.status_code}')
        self._last_list = decode_list(reply.content)
        self._etag = reply.headers.get('etag', '')
        return self._last_list

    async def follow(self) -> AsyncGenerator[tuple[ListedInstance, ...], None]:
        """Yield the list whenever it has changed; a failed poll is logged and retried."""
        last: tuple[ListedInstance, ...] | None = None
        while True:
            try:
                found = await self.fetch(self._clock.now_s() + self._settings.instance_list_poll_s)
            except ListUnreadable as error:
                LIST_UNREADABLE.log(reason=str(error))
            else:
                if found != last:
                    last = found
                    yield found
            await anyio.sleep(self._settings.instance_list_poll_s)


def decode_list(content: bytes) -> tuple[ListedInstance, ...]:
    """Return the listed instances, sorted; raises ``ListUnreadable``."""
    try:
        found = _decoder.decode(content)
        entries = [ListedInstance(entry['instance'], entry['state']) for entry in found]
    except (UnreadableValue, KeyError) as error:
        raise ListUnreadable(f'not a list of instances: {error}') from error
    unknown = [entry for entry in entries if entry.state not in STATES]
    if unknown:
        UNKNOWN_STATE.log(
            instance=unknown[0].instance, state=unknown[0].state, entries=len(unknown)
        )
    return tuple(sorted(set(entries).difference(unknown)))
