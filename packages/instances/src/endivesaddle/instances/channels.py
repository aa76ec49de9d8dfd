"""grpclib's channel and server, with connections that are watched for silence."""

import ssl
import weakref
from collections.abc import Collection
from typing import Any, cast

from grpclib.client import Channel, Handler
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from endivesaddle.instances.http2 import CONFIGURATION, LinkProtocol
from endivesaddle.instances.settings import InstancesSettings

PORTS = range(1 << 16)


class LinkChannel(Channel):
    """A channel whose connection is a ``LinkProtocol``; it connects anew when that ends."""

    def __init__(
        self, address: str, settings: InstancesSettings, context: ssl.SSLContext | None
    ) -> None:
        """Make no connection yet; ``context`` is None without TLS.

        Raises ``ValueError`` if the address is malformed.
        """
        host, port = split(address)
        super().__init__(host, port, ssl=context, config=CONFIGURATION)
        self._settings = settings

    def live(self) -> LinkProtocol | None:
        """Return the connection, if there is one."""
        return cast(LinkProtocol, self._protocol) if self._connected else None

    def _protocol_factory(self) -> H2Protocol:
        return LinkProtocol(Handler(), self._h2_config, self._settings, self._settings.link_idle_s)


class LinkServer(Server):
    """A server whose connections are ``LinkProtocol``s, and that can close them."""

    def __init__(self, services: Collection[Any], settings: InstancesSettings) -> None:
        """Not listening yet."""
        super().__init__(services, config=CONFIGURATION)
        self._settings = settings
        self._links: weakref.WeakSet[LinkProtocol] = weakref.WeakSet()

    def close_links(self) -> None:
        """Close all connections; the library's ``close`` leaves them open."""
        for link in tuple(self._links):
            if hasattr(link, 'connection'):
                link.close('the server stops')

    def _protocol_factory(self) -> H2Protocol:
        handler = super()._protocol_factory().handler
        # Later than the other end closes an idle link: a call that was being sent
        # while this end closes would be lost, and its fate unknown.
        idle_s = 2 * self._settings.link_idle_s
        link = LinkProtocol(handler, self._h2_config, self._settings, idle_s)
        self._links.add(link)
        return link


def split(address: str) -> tuple[str, int]:
    """Split "ip:port", also of IPv6; raises ``ValueError`` if there is no port in its range."""
    host, _, port = address.rpartition(':')
    number = int(port)
    if number not in PORTS:
        raise ValueError(f'{number} is not a port')
    return host.strip('[]'), number
