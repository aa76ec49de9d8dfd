"""Mutual TLS between instances, and the shared fleet key."""

import hmac
import ipaddress
import ssl
from asyncio import sslproto
from collections.abc import Mapping

from endivesaddle.fleet.errors import UserError
from endivesaddle.instances.settings import InstancesSettings

FLEET_KEY_HEADER = 'endivesaddle-fleet-key'
PROTOCOLS = ('h2',)
READ_BUFFER_BYTES = 16 * 1024
"""What a TLS connection reads at once: the size of a record."""

# asyncio gives each TLS connection a read buffer of 256 KiB, filled and never given back:
# with some hundred links an instance would hold more than it may use for all of control.
sslproto.SSLProtocol.max_size = READ_BUFFER_BYTES


def server_context(settings: InstancesSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None without TLS.

    Raises ``UserError`` where the settings are not complete or a file is bad.
    """
    context = _context(settings, ssl.PROTOCOL_TLS_SERVER)
    if context is not None:
        # Links last; a ticket to resume one costs memory at both ends and is never used.
        context.num_tickets = 0
    return context


def client_context(settings: InstancesSettings) -> ssl.SSLContext | None:
    """Return the TLS context of calls, or None without TLS; raises ``UserError``.

    The certificate of the other end has to name the IP number that was called, so
    that one instance's certificate doesn't serve to stand in for another.
    """
    return _context(settings, ssl.PROTOCOL_TLS_CLIENT)


def check_listen(host: str, settings: InstancesSettings) -> None:
    """Refuse to listen in the open: TLS and a fleet key, or loopback only.

    ``link_in_the_open`` is an operator's word that the network admits the fleet alone.
    """
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        raise UserError(f'--listen takes an IP number, not {host!r}') from None
    trusted = settings.link_in_the_open == 'yes'
    if loopback or trusted or (settings.tls_certificate and settings.fleet_key):
        return
    raise UserError(
        f'--listen {host} is not loopback: give --tls-certificate, --tls-key, --tls-ca '
        'and --fleet-key, or listen on 127.0.0.1'
    )


def metadata(settings: InstancesSettings) -> dict[str, str]:
    """Return what each call carries to show that its sender is of the fleet."""
    return {FLEET_KEY_HEADER: settings.fleet_key} if settings.fleet_key else {}


def admits(settings: InstancesSettings, found: Mapping[str, object]) -> bool:
    """Tell whether a call's metadata carries a key of the fleet, in constant time."""
    if not settings.fleet_key:
        return True
    given = str(found.get(FLEET_KEY_HEADER, '')).encode()
    # Both are compared, so that the time taken does not tell which one came close.
    fits = [hmac.compare_digest(given, key.encode()) for key in _keys(settings)]
    return any(fits)


def _keys(settings: InstancesSettings) -> tuple[str, str]:
    # Without a second key the first is compared twice: an empty one must not fit.
    return settings.fleet_key, settings.fleet_key_also or settings.fleet_key


def _context(settings: InstancesSettings, protocol: int) -> ssl.SSLContext | None:
    files = (settings.tls_certificate, settings.tls_key, settings.tls_ca)
    if not any(files):
        return None
    if not all(files):
        raise UserError('--tls-certificate, --tls-key and --tls-ca go together')
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        context.load_verify_locations(settings.tls_ca)
    except (OSError, ssl.SSLError) as error:
        raise UserError(f'the TLS files {", ".join(files)} can not be used: {error}') from error
    context.set_alpn_protocols(PROTOCOLS)
    return context
