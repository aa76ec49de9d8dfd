"""Steps of forward_http.feature."""

from functools import partial
from typing import Any

from behave import given, then, when

from subjects.forward_http import END, ForwardHttp, disconnect, stop


@given('the listener of a forwarding router')
def start(context: Any) -> None:
    """Create the subject."""
    context.http = ForwardHttp()


@when('a caller sends: {text}')
def send(context: Any, text: str) -> None:
    """Send bytes; escapes are written as in Python."""
    context.http.play(
        partial(ForwardHttp.send, data=text.encode().decode('unicode_escape').encode())
    )


@given('it takes {most:d} connections at a time')
def limit_connections(context: Any, most: int) -> None:
    """Bound the connections."""
    context.http.max_connections = most


@when('{count:d} callers connect at once, and one more after them')
def crowd(context: Any, count: int) -> None:
    """Send a request on each connection."""
    context.http.play(partial(ForwardHttp.crowd_twice, count=count))


@when('{count:d} callers connect at once while the router stops')
def crowd_at_stop(context: Any, count: int) -> None:
    """Tell it to stop once it has read what it can."""
    context.http.stops = True
    context.http.play(partial(ForwardHttp.crowd, count=count))


@then('{answered:d} of them have whole answers, and {unread:d} were closed unread')
def crowd_answered(context: Any, answered: int, unread: int) -> None:
    """Compare the counts, and what the application got."""
    http = context.http
    assert (http.answered, http.unread) == (answered, unread), (http.answered, http.unread)
    assert sum('/held' in request for request in http.app.requests) == answered


@when('a caller sends a head of {size:d} bytes')
def send_head(context: Any, size: int) -> None:
    """Send a request with a long header."""
    head = b'GET /a HTTP/1.1\r\nhost: a\r\nlong: %s\r\n\r\n' % (b'x' * size)
    context.http.play(partial(ForwardHttp.send, data=head))


@when('a caller connects and sends nothing')
def send_nothing(context: Any) -> None:
    """Wait until the connection is closed."""
    context.http.play(partial(ForwardHttp.send, data=b''))


@when('a caller disconnects before its answer')
def caller_leaves(context: Any) -> None:
    """Disconnect, and wait until the application is notified."""
    context.http.play(disconnect)


@when('the router stops while one connection is idle and one has an unfinished answer')
def router_stops(context: Any) -> None:
    """Stop, and wait until both connections are closed."""
    context.http.play(stop)


@then('the application got: {requests}')
def requests(context: Any, requests: str) -> None:
    """Check the requests that the application received."""
    found = [one.strip() for one in context.http.app.requests]
    assert found == [one.strip(' ') for one in requests.split(', ')], found


@then('the application got no request')
def got_nothing(context: Any) -> None:
    """Check that the application received no request."""
    assert not context.http.app.requests, context.http.app.requests


@then('the caller got {count:d} whole answers')
def whole(context: Any, count: int) -> None:
    """Count the ends of answers."""
    assert context.http.got.count(END) == count, context.http.got


@then('the caller got the status {status:d}')
def got_status(context: Any, status: int) -> None:
    """Check the status line."""
    assert context.http.got.startswith(b'HTTP/1.1 %d ' % status), context.http.got


@then('the caller got an error about its request')
def refused(context: Any) -> None:
    """Check for status 400 (malformed) or 501 (unknown transfer coding)."""
    assert context.http.got.startswith((b'HTTP/1.1 400 ', b'HTTP/1.1 501 ')), context.http.got


@then('the caller got no whole answer')
def cut(context: Any) -> None:
    """Check that the connection was closed without the end of the answer."""
    assert b' 200 ' in context.http.got, context.http.got
    assert END not in context.http.got, context.http.got


@then('the connection was closed after {least:g} to {most:g} seconds')
def closed(context: Any, least: float, most: float) -> None:
    """Check the time until the connection was closed."""
    assert least <= context.http.elapsed_s <= most, context.http.elapsed_s
