"""Open the configuration store that the settings name."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import UserError
from endivesaddle.platform import etcd
from endivesaddle.platform.settings import PlatformSettings
from endivesaddle.platform.stores import ClosableStore, stores

ADAPTERS = (etcd,)
"""Modules that register themselves in ``stores`` on import."""


@asynccontextmanager
async def open_store(settings: PlatformSettings, clock: Clock) -> AsyncIterator[ClosableStore]:
    """Open the store that the settings name, such as ``etcd+http://...``.

    Raises ``UserError`` if the URLs name no store or more than one kind.
    """
    kinds = {url.partition('+')[0] for url in settings.store_urls if '+' in url}
    if len(kinds) != 1 or not all('+' in url for url in settings.store_urls):
        raise UserError(
            '--store-urls needs URLs of one kind of store, such as etcd+http://10.0.0.1:2379'
        )
    store = stores.find(kinds.pop())(settings, clock)
    try:
        yield store
    finally:
        await store.aclose()
