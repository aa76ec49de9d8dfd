"""Steps of forward_http.feature."""

from functools import partial
from typing import Any

from behave import given, then, when

from subjects.forward_http import END, ForwardHttp, leave, stop


@given('the listener of a forwarding router')
def start(context: Any) -> None:
    """Set it up."""
    context.http = ForwardHttp()


@when('a caller sends: {text}')
def send(context: Any, text: str) -> None:
    """Send it; escapes are written as in Python."""
    context.http.play(
        partial(ForwardHttp.send, data=text.encode().decode('unicode_escape').encode())
    )


@when('a caller sends a head of {size:d} bytes')
def send_head(context: Any, size: int) -> None:
    """Send it."""
    head = b'GET /a HTTP/1.1\r\nhost: a\r\nlong: %s\r\n\r\n' % (b'x' * size)
    context.http.play(partial(ForwardHttp.send, data=head))


@when('a caller connects and sends nothing')
def send_nothing(context: Any) -> None:
    """Wait for the end."""
    context.http.play(partial(ForwardHttp.send, data=b''))


@when('a caller leaves before its answer')
def caller_leaves(context: Any) -> None:
    """Returns when the application was told."""
    context.http.play(leave)


@when('the router stops while one connection is idle and one has an answer under way')
def router_stops(context: Any) -> None:
    """Returns when both are closed."""
    context.http.play(stop)


@then('the application was asked: {asked}')
def asked(context: Any, asked: str) -> None:
    """Compare with what it was asked."""
    found = [one.strip() for one in context.http.app.asked]
    assert found == [one.strip(' ') for one in asked.split(', ')], found


@then('the application was asked nothing')
def asked_nothing(context: Any) -> None:
    """Look."""
    assert not context.http.app.asked, context.http.app.asked


@then('the caller got {count:d} whole answers')
def whole(context: Any, count: int) -> None:
    """Count their ends."""
    assert context.http.got.count(END) == count, context.http.got


@then('the caller got the status {status:d}')
def got_status(context: Any, status: int) -> None:
    """Look at the first line."""
    assert context.http.got.startswith(b'HTTP/1.1 %d ' % status), context.http.got


@then('the caller was told that its request is bad')
def refused(context: Any) -> None:
    """Either that it can't be read, or that its coding of the body is not known."""
    assert context.http.got.startswith((b'HTTP/1.1 400 ', b'HTTP/1.1 501 ')), context.http.got


@then('the caller got no whole answer')
def cut(context: Any) -> None:
    """The connection was closed without the end."""
    assert b' 200 ' in context.http.got, context.http.got
    assert END not in context.http.got, context.http.got


@then('the connection was closed after {least:g} to {most:g} seconds')
def closed(context: Any, least: float, most: float) -> None:
    """Look at the time that it took."""
    assert least <= context.http.took_s <= most, context.http.took_s
