"""Steps of platform_store.feature."""

from typing import Any

import anyio
from behave import given, then, when

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable, UserError
from endivesaddle.fleet.ports import Stored
from endivesaddle.platform import PlatformSettings, open_store
from subjects.platform_store import HOSTS, PlatformStore, watch_over_socket, write_over_tls

TXN = '/v3/kv/txn'
RANGE = '/v3/kv/range'


@given('platform store: a store at {count:d} URLs')
def store(context: Any, count: int) -> None:
    """Open the adapter of a store with this number of URLs."""
    context.store = PlatformStore(count)
    context.add_cleanup(context.store.close)


@given('platform store: 150 keys under "{prefix}" and others before and after them')
def filled(context: Any, prefix: str) -> None:
    """Fill the store; the other keys sort right before and right after these."""
    context.keys = [f'{prefix}{number:03}' for number in range(150)]
    context.store.fill('shards', 'shards.', *context.keys, 'shards0', 'z')


@when('platform store: "{key}" is written from version 0 and again from version 0')
def write_twice(context: Any, key: str) -> None:
    """Write a key twice, each time as a new one."""
    context.store.write(key)
    context.store.write(key)


@when('platform store: "{key}" is written under a lease of 5 seconds that is not extended')
def write_leased(context: Any, key: str) -> None:
    """Write a key under a lease."""
    context.lease_id = context.store.lease()
    context.store.write(key, 0, context.lease_id)
    assert context.store.extend(context.lease_id)
    assert isinstance(context.store.read(key), Stored)


@when('platform store: "{prefix}" is listed')
def listed(context: Any, prefix: str) -> None:
    """List a prefix."""
    context.store.list(prefix)


@when('platform store: the response to a write of "{key}" is lost')
def lose_answer(context: Any, key: str) -> None:
    """Write a key whose response is lost."""
    context.store.memory.lose_answers = 1
    context.store.write(key)


@when('platform store: the first URL refuses connections and "{key}" is written')
def refuse(context: Any, key: str) -> None:
    """Write a key while one URL refuses connections."""
    context.store.transport.refused.add(HOSTS[0])
    context.store.write(key)


@when('platform store: the first URL does not respond and "{key}" is read with 10 seconds')
def read_silent(context: Any, key: str) -> None:
    """Read a key while one URL does not respond."""
    context.store.fill(key)
    context.store.transport.silent.add(HOSTS[0])
    assert isinstance(context.store.read(key), Stored)


@when('platform store: the open connection does not respond and "{key}" is read with 10 seconds')
def read_silent_once(context: Any, key: str) -> None:
    """Read a key while one call gets no response."""
    context.store.fill(key)
    context.store.transport.silent_calls = 1
    assert isinstance(context.store.read(key), Stored)


@when('platform store: the first URL does not respond and a lease is extended with 10 seconds')
def extend_silent(context: Any) -> None:
    """Extend a lease while one URL does not respond."""
    lease_id = context.store.lease()
    context.store.transport.silent.add(HOSTS[0])
    assert context.store.extend(lease_id)


@when('platform store: neither URL responds and "{key}" is written with 10 seconds')
def write_silent(context: Any, key: str) -> None:
    """Write a key while neither URL responds."""
    context.store.transport.silent.update(HOSTS)
    context.store.write(key)


@when('platform store: writes are answered with HTTP {status:d} and code {code:d}')
def scripted(context: Any, status: int, code: int) -> None:
    """Write a key that gets a scripted response."""
    context.store.answer(status, code)
    context.store.write('a')


@when('platform store: "{key}" is watched for 60 seconds and then nothing responds')
def watch_silent(context: Any, key: str) -> None:
    """Watch until it breaks."""

    async def fall_silent() -> None:
        await anyio.sleep(60)
        context.store.gateway.silent = True

    context.reported = context.store.watch(key, 0, fall_silent)
    context.store.gateway.silent = False


@when('platform store: "{key}" is written, then 20 other keys, and the store compacts')
def compact(context: Any, key: str) -> None:
    """Compact past the version of a key."""
    context.store.fill(key, *(f'other/{number}' for number in range(20)))
    context.store.read('other/19')
    context.store.gateway.compacted = 15


@when('platform store: "{key}" is watched from a version that was not read')
def watch_old(context: Any, key: str) -> None:
    """Watch from a compacted version."""
    context.reported = context.store.watch(key, 1, lambda: anyio.sleep(0))


@when('platform store: "{key}" is read, watched from its version, and written')
def read_and_watch(context: Any, key: str) -> None:
    """Read a key and watch from its version, as users of the store do."""
    version = context.store.read(key).version
    context.reported = context.store.watch(
        key, version, lambda: _write(context.store, key, version)
    )


@given("platform store: the instance has 10 reads a second and a burst of 10 seconds' worth")
def limited(context: Any) -> None:
    """Set the rate limits."""
    context.store.limit(10)


@when('platform store: "{key}" is read without pause for 10 seconds')
def run_wild(context: Any, key: str) -> None:
    """Read in a fast loop."""

    async def loop() -> None:
        with anyio.move_on_after(10):
            while True:
                await context.store.store.read(key, context.store.deadline_unix_s())

    context.store.do(loop)


@when('platform store: the store goes down during a watch')
def go_down(context: Any) -> None:
    """Take the store down during a watch."""

    async def fail() -> None:
        await anyio.sleep(1)
        context.store.memory.fail(down=True)

    context.reported = context.store.watch('a', 0, fail)


@then('platform store: the outcomes are {words}')
def outcomes(context: Any, words: str) -> None:
    """Check the outcomes so far."""
    assert ', '.join(context.store.outcomes) == words, context.store.outcomes


@then('platform store: 10 seconds later "{key}" is gone and the lease can\'t be extended')
def lapsed(context: Any, key: str) -> None:
    """Let the lease expire."""
    context.store.sleep(10)
    assert not isinstance(context.store.read(key), Stored)
    assert context.store.extend(context.lease_id) is False


@then('platform store: the list has those 150 keys in order, from 3 replies')
def whole_list(context: Any) -> None:
    """Check the listed keys and the number of requests."""
    assert [entry.key for entry in context.store.listed] == context.keys
    assert context.store.sent(RANGE) == 3, context.store.gateway.paths


@then('platform store: the write was {kind:w} and was sent once')
def sent_once(context: Any, kind: str) -> None:
    """Check the outcome and the number of requests."""
    assert context.store.outcomes[-1] == kind, context.store.outcomes
    assert context.store.sent(TXN) == 1, context.store.gateway.paths


@then('platform store: "{key}" holds the value')
def holds(context: Any, key: str) -> None:
    """Read the key back."""
    assert context.store.read(key).value == b'new'


@then('platform store: the read was answered after {least:d} to {most:g} seconds')
def read_after(context: Any, least: int, most: float) -> None:
    """Check the duration."""
    assert least <= context.store.took_s <= most, context.store.took_s


@then('platform store: the write was unsure after {least:d} to {most:g} seconds')
def unsure_after(context: Any, least: int, most: float) -> None:
    """Check the outcome and the duration."""
    assert context.store.outcomes[-1] == 'unsure', context.store.outcomes
    read_after(context, least, most)


@then('platform store: the watch broke {least:d} to {most:d} seconds after that')
def broke_after(context: Any, least: int, most: int) -> None:
    """Check that the watch broke, and when."""
    assert context.reported is None
    assert 60 + least <= context.store.took_s <= 60 + most, context.store.took_s


@then('platform store: the watch broke')
def broke(context: Any) -> None:
    """Check that the watch reported no change."""
    assert context.reported is None, context.reported


@then('platform store: the watch reported the new value')
def reported(context: Any) -> None:
    """Check the change that the watch reported."""
    assert context.reported is not None and context.reported.value == b'new', context.reported


@then('platform store: the store saw {least:d} to {most:d} reads')
def saw_reads(context: Any, least: int, most: int) -> None:
    """Check the number of reads that the store got, and the adapter's count."""
    found = context.store.sent(RANGE)
    assert least <= found <= most, found
    assert context.store.store.rate.calls['read'] == found


@then('platform store: a read is unreachable')
def read_fails(context: Any) -> None:
    """Read from a store that is down."""
    context.store.read('a')
    assert context.store.outcomes[-1] == 'unreachable'


@then('platform store: the URLs "{urls}" open a store')
def opens(context: Any, urls: str) -> None:
    """Open and close a store."""
    anyio.run(_open, urls)


@then('platform store: the URLs "{urls}" are refused with "{text}"')
def refused(context: Any, urls: str, text: str) -> None:
    """Open a store and check the error."""
    try:
        anyio.run(_open, urls)
    except UserError as error:
        assert text in str(error), error
    else:
        raise AssertionError('it was opened')


@then('platform store: over a socket a watch reports a write')
def over_socket(context: Any) -> None:
    """Watch and write over a real HTTP server."""
    stored = anyio.run(watch_over_socket)
    assert stored.value == b'told', stored


@then('platform store: a store with the certificate "{name}" is written to')
def written_over_tls(context: Any, name: str) -> None:
    """Write to a real HTTPS server."""
    assert isinstance(anyio.run(write_over_tls, name, 'fleet-authority'), Stored)


@then('platform store: a store with the certificate "{name}" is unreachable')
def unreachable_over_tls(context: Any, name: str) -> None:
    """Write to a real HTTPS server and check the error."""
    try:
        anyio.run(write_over_tls, name, 'fleet-authority')
    except StoreUnreachable as error:
        assert 'certificate' in str(error), error
    else:
        raise AssertionError('it was written')


@then('platform store: a missing authority file is reported to the user')
def authority_missing(context: Any) -> None:
    """Name a file that does not exist and check the error."""
    try:
        anyio.run(write_over_tls, 'fleet', 'no-authority')
    except UserError as error:
        assert '--store-ca' in str(error), error
    else:
        raise AssertionError('it was taken')


async def _write(subject: PlatformStore, key: str, version: int) -> None:
    await anyio.sleep(1)
    await subject.store.swap(key, b'new', version, subject.deadline_unix_s())


async def _open(urls: str) -> None:
    async with open_store(PlatformSettings(store_urls=(urls,)), LoopClock()):
        return
