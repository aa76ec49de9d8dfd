"""Settings of the links between instances."""

import dataclasses

from endivesaddle.fleet import settings

MIB_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class InstancesSettings:
    """Who may connect, how silence is found, and how large a message may be."""

    tls_certificate: str = settings.option(
        'tls-certificate', "PEM file of this instance's certificate ('' without TLS)", ''
    )
    tls_key: str = settings.option('tls-key', 'PEM file of the key of the certificate', '')
    tls_ca: str = settings.option(
        'tls-ca', "PEM file of the authority that signed the other instances' certificates", ''
    )
    fleet_key: str = settings.option(
        'fleet-key', 'secret that all instances share; give it by the variable', ''
    )
    fleet_key_also: str = settings.option(
        'fleet-key-also', 'second secret that is taken from others, while the key changes', ''
    )
    link_in_the_open: str = settings.option(
        'link-in-the-open',
        'whether a network that admits nobody else makes TLS and the fleet key needless: yes or no',
        'no',
        settings.choice('yes', 'no'),
    )
    link_connect_s: float = settings.option(
        'link-connect-s',
        'seconds that a connection to another instance may take',
        1.0,
        settings.number(0.01, 60),
    )
    link_keep_alive_s: float = settings.option(
        'link-keep-alive-s',
        'seconds of silence after which a link with open calls is pinged',
        2.0,
        settings.number(0.1, 600),
    )
    link_silence_s: float = settings.option(
        'link-silence-s',
        'seconds of silence after which a link with open calls is cut',
        5.0,
        settings.number(0.2, 3600),
    )
    link_probe_s: float = settings.option(
        'link-probe-s',
        'seconds that a link unheard for a while has to answer a ping before it is used',
        0.3,
        settings.number(0.01, 60),
    )
    link_idle_s: float = settings.option(
        'link-idle-s',
        'seconds without any call after which a link is closed',
        60.0,
        settings.number(1, 86400),
    )
    link_streams: int = settings.option(
        'link-streams',
        'calls that one link carries at once',
        10000,
        settings.integer(100, 1000000),
    )
    link_message_bytes: int = settings.option(
        'link-message-bytes',
        'size that a message between instances may have',
        32 * MIB_BYTES,
        settings.integer(1024, 1024 * MIB_BYTES),
    )
    link_stop_s: float = settings.option(
        'link-stop-s',
        'seconds that calls in flight have when the listener closes',
        5.0,
        settings.number(0, 3600),
    )
