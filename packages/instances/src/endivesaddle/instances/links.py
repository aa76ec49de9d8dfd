"""Links to other instances: one for each address, connected when it is needed."""

import ssl
from typing import cast

import anyio

from endivesaddle.instances import tls
from endivesaddle.instances.channels import LinkChannel
from endivesaddle.instances.http2 import LinkProtocol
from endivesaddle.instances.settings import InstancesSettings


class Link:
    """One address, and the connection to it; ``calls`` counts those under way."""

    def __init__(
        self, address: str, settings: InstancesSettings, context: ssl.SSLContext | None
    ) -> None:
        """Make no connection yet; ``context`` is None without TLS.

        Raises ``ValueError`` if the address is malformed.
        """
        self.calls = 0
        self._settings = settings
        self._channel = LinkChannel(address, settings, context)
        self._lock = anyio.Lock()
        self._doubted = False

    async def ready(self) -> LinkChannel:
        """Return the channel, connected, and heard from lately.

        A connection can go silent while nobody uses it.  A call sent on it would
        be lost and its fate unknown, so a quiet one has to answer a ping first,
        and is replaced if it doesn't: the call was not sent yet.

        Raises ``OSError`` or ``TimeoutError`` where there is no connection.
        """
        protocol = self._channel.live()
        if protocol is None or not self._fresh(protocol):
            async with self._lock:
                protocol = await self._connected()
        await protocol.ready()
        protocol.wake()
        return self._channel

    def doubt(self) -> None:
        """Have the connection probed before the next call: one went unanswered."""
        self._doubted = True

    def connected(self) -> bool:
        """Tell whether there is a connection."""
        return self._channel.live() is not None

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def _connected(self) -> LinkProtocol:
        protocol = self._channel.live()
        if protocol is not None and await self._answers(protocol):
            return protocol
        with anyio.fail_after(self._settings.link_connect_s):
            try:
                protocol = cast(LinkProtocol, await self._channel.__connect__())
            except ValueError as error:
                # The host is no name that can be looked up.
                raise OSError(str(error)) from error
            await protocol.greeting()
        return protocol

    async def _answers(self, protocol: LinkProtocol) -> bool:
        if self._fresh(protocol):
            return True
        self._doubted = False
        if protocol.greeted and await protocol.answers():
            return True
        protocol.cut('no answer before a call')
        return False

    def _fresh(self, protocol: LinkProtocol) -> bool:
        if self._doubted or not protocol.greeted:
            return False
        return protocol.quiet_s() < self._settings.link_keep_alive_s


class Links:
    """All links of one instance."""

    def __init__(self, settings: InstancesSettings) -> None:
        """Start without any; raises ``UserError`` for bad TLS files."""
        self._settings = settings
        self._context = tls.client_context(settings)
        self._links: dict[str, Link] = {}

    def find(self, address: str) -> Link:
        """Return the link to an address; raises ``ValueError`` if the address is malformed."""
        link = self._links.get(address)
        if link is None:
            self._sweep()
            link = Link(address, self._settings, self._context)
            self._links[address] = link
        return link

    def __len__(self) -> int:
        """Return how many links are kept."""
        return len(self._links)

    def connected(self) -> int:
        """Return how many links have a connection."""
        return sum(link.connected() for link in self._links.values())

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _sweep(self) -> None:
        # Instances come back under new addresses; without this the links to the old
        # ones would pile up for as long as the process lives.
        self._links = {
            address: link for address, link in self._links.items() if link.calls or link.connected()
        }
