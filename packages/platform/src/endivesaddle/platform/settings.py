"""Settings of the platform's services: their addresses, and how much one instance uses them."""

import dataclasses

from endivesaddle.fleet import settings


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Addresses, time-outs and rates of calls to the platform.

    The rates are those of the whole fleet, and below the platform's limits of several
    hundred writes and two thousand reads a second.  Each router uses its share.
    """

    store_urls: tuple[str, ...] = settings.option(
        'store-urls',
        'configuration store, such as etcd+http://10.0.0.1:2379; several by commas',
        (),
        settings.name_list,
    )
    store_ca: str = settings.option(
        'store-ca',
        "PEM file of the authority of the store's certificate ('' for any known)",
        '',
    )
    store_connect_s: float = settings.option(
        'store-connect-s',
        'seconds that a connection to the store may take',
        1.0,
        settings.number(0.01, 60),
    )
    store_read_s: float = settings.option(
        'store-read-s',
        'seconds after which a read is tried at the next URL',
        2.0,
        settings.number(0.01, 60),
    )
    store_watch_silence_s: float = settings.option(
        'store-watch-silence-s',
        'seconds without any notice after which a watch counts as broken',
        5.0,
        settings.number(0.1, 3600),
    )
    store_page_keys: int = settings.option(
        'store-page-keys', 'keys asked for in one reply of a list', 64, settings.integer(1, 10000)
    )
    store_connections: int = settings.option(
        'store-connections',
        'calls to the store that may be open at once, each on a connection of its own',
        16,
        settings.integer(1, 10000),
    )
    store_reads_per_s: float = settings.option(
        'store-reads-per-s',
        'reads a second that all routers together may make',
        1500.0,
        settings.number(0.1, 1000000),
    )
    store_writes_per_s: float = settings.option(
        'store-writes-per-s',
        'writes a second that all routers together may make',
        250.0,
        settings.number(0.1, 1000000),
    )
    store_burst_s: float = settings.option(
        'store-burst-s',
        'seconds of unused rate that may be used at once',
        4.0,
        settings.number(1, 600),
    )
    store_start_calls: int = settings.option(
        'store-start-calls',
        'reads, and writes, that an instance may make at once when it starts',
        400,
        settings.integer(0, 100000),
    )
    store_sidecar_reads_per_s: float = settings.option(
        'store-sidecar-reads-per-s',
        'reads a second that one sidecar may make',
        0.5,
        settings.number(0.01, 10000),
    )
    store_sidecar_writes_per_s: float = settings.option(
        'store-sidecar-writes-per-s',
        'writes a second that one sidecar may make',
        0.5,
        settings.number(0.01, 10000),
    )
    instance_list_url: str = settings.option(
        'instance-list-url', "the platform's list of instances ('' for none)", ''
    )
    instance_list_poll_s: float = settings.option(
        'instance-list-poll-s',
        'seconds between two looks at the list of instances',
        5.0,
        settings.number(0.1, 3600),
    )
    weight_slots: int = settings.option(
        'weight-slots',
        'loads of weights that the weight store bears at once, fleet-wide',
        4,
        settings.integer(1, 10000),
    )
    weight_lease_s: int = settings.option(
        'weight-lease-s',
        'seconds after which the slot of a lost loader is free again',
        30,
        settings.integer(1, 86400),
    )
