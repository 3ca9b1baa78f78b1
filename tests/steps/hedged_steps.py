"""Steps for reads that are sent again once their response is overdue."""

import time

import gevent
from behave import given, then, when
from gevent.server import StreamServer

from apricotpin.helpers.hedged_reads import HedgeLimits, call_hedged
from apricotpin.helpers.http import (
    HttpRequest,
    PooledHttpClient,
    RequestLimits,
)

_LIMITS = HedgeLimits(overdue_s=0.2, transfer_s=0.3, timeout_s=0.6)
_CLIENT_LIMITS = RequestLimits(0.6, 0.6, 1.5, 65536)
_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright'
_LATE_S = 0.4
_SILENT_S = 20
_TRICKLE_PAUSE_S = 0.2
_CONNECTIONS = 4
_POLL_S = 0.02


class _Peer:
    """Respond to each request in turn as the attempts say."""

    def __init__(self, attempts):
        self.attempts = list(attempts)
        self.requests = 0
        self.in_use = 0
        # Addresses of callers: whose connections are silent, and whose were
        # left open after a response.
        self.silent = set()
        self.reusable = set()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def close(self):
        """Stop the peer."""
        self._server.stop(timeout=0)

    def _serve(self, connection, address):
        while connection.recv(4096):
            self.requests += 1
            self.in_use += 1
            attempt = self.attempts.pop(0) if self.attempts else 'answered'
            if address in self.silent:
                attempt = 'silent'
            is_open = _respond(connection, attempt)
            self.in_use -= 1
            if not is_open:
                return
            self.reusable.add(address)


def _respond(connection, attempt):
    """Respond; return whether the connection may be used again."""
    if attempt == 'closed':
        return False
    if attempt == 'silent':
        # Returns once the caller closes the connection.
        with gevent.Timeout(_SILENT_S, False):
            connection.recv(1)
        return False
    if attempt.startswith(('late', 'held')):
        gevent.sleep(_LATE_S)
    parts = [_RESPONSE]
    if attempt.endswith('trickling'):
        parts = [_RESPONSE[:-5], *([b'r'] * 4)]
    for part in parts:
        try:
            connection.sendall(part)
        except OSError:
            return False
        if attempt.endswith('trickling'):
            gevent.sleep(_TRICKLE_PAUSE_S)
    return True


@given('hedged peer whose attempts are {first}, and after that {second}')
def start_peer(context, first, second):
    context.peer = _Peer((first, second))
    context.cleanups = [context.peer.close]
    context.client = PooledHttpClient(
        context.peer.address, _CONNECTIONS, _CLIENT_LIMITS
    )


@given("hedged peer's open connections become silent after 2 reads at once")
def silence_open(context):
    peer = context.peer
    peer.attempts = ['held', 'held']
    reads = [
        gevent.spawn(context.client.call, HttpRequest('GET', '/'))
        for _ in range(2)
    ]
    gevent.joinall(reads)
    gevent.sleep(_POLL_S)
    assert len(peer.reusable) == 2
    peer.silent = set(peer.reusable)
    peer.requests = 0


@when('hedged peer is sent a read that it may hold for {held:g} s')
def send_read(context, held):
    request = HttpRequest('GET', '/')
    request.wait_s = held
    started_s = time.monotonic()
    second = HttpRequest('GET', '/')
    context.outcome = call_hedged(context.client, request, second, _LIMITS)
    context.took_s = time.monotonic() - started_s


@then('hedged read ends as {outcome} after {attempts:d} attempts')
def ends_as(context, outcome, attempts):
    found = (
        context.outcome.ok_value.body.decode()
        if context.outcome.is_ok()
        else context.outcome.err_value.value
    )
    assert (found, context.peer.requests) == (outcome, attempts), (
        found,
        context.peer.requests,
    )


@then('hedged read took between {least:g} and {most:g} s')
def took_between(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then('hedged peer has no connection in use within {limit:g} s')
def none_in_use(context, limit):
    with gevent.Timeout(limit, False):
        while context.peer.in_use:
            gevent.sleep(_POLL_S)
    assert not context.peer.in_use, context.peer.in_use
