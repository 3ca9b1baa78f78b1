"""Callers of a soak run: kept connections, and a check of each response."""

import random
import socket
import time
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any, Final

import gevent

from script.caller_requests import CallerResponse
from script.standins.paced_worker import body_of, event_count, event_of

DEADLINE_S: Final = 6.0
# A caller stays a little longer than its deadline, to see how it ends.
_STAY_S: Final = DEADLINE_S + 0.5
_CONNECT_TIMEOUT_S: Final = 1.0
_READ_BYTES: Final = 4096
_SLOW_READ_BYTES: Final = 64
_SLOW_READ_S: Final = 0.02
_KINDS: Final = (
    ('GET', 'read'),
    ('POST', 'read'),
    ('POST', 'order'),
    ('POST', 'stream'),
    ('POST', 'stream'),
    ('POST', 'talk'),
)
# Routes whose requests may run once at most.
ONCE_KINDS: Final = ('order', 'talk')
STREAM_KINDS: Final = ('stream', 'talk')
_LEAVE_SHARE: Final = 0.05
_SLOW_SHARE: Final = 0.1
_BUSY_PAUSE_S: Final = 0.3

# Ends of an exchange.
COMPLETE: Final = 'complete'
CUT: Final = 'cut'
LEFT: Final = 'left'
LATE: Final = 'late'


class Exchange:
    """Describe a request and its response; times on the monotonic clock.

    sent_s is the time of the last byte of the request, 0 if not all was sent.
    """

    __slots__ = (
        'body',
        'end',
        'ended_s',
        'entry',
        'kind',
        'line',
        'request_id',
        'response',
        'sent_s',
        'started_s',
    )

    def __init__(self, request_id: str, entry: str, line: str, body: bytes):
        self.request_id = request_id
        self.entry = entry
        self.line = line
        self.kind = line.split('/')[1]
        self.body = body
        self.started_s = time.monotonic()
        self.sent_s: float = 0
        self.ended_s: float = 0
        self.response = CallerResponse(0, {}, b'', False)
        self.end = CUT


class Traffic:
    """Own what all callers did; entries are the hosts that take callers."""

    __slots__ = ('entries', 'exchanges', 'is_stopped', 'seed')

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.entries: set[str] = set()
        self.exchanges: list[Exchange] = []
        self.is_stopped = False

    def call(self, number: int) -> None:
        """Be one caller until is_stopped is set."""
        rng = random.Random(f'{self.seed}/caller/{number}')
        while not self.is_stopped:
            entries = sorted(self.entries)
            if not entries:
                gevent.sleep(_BUSY_PAUSE_S)
                continue
            entry = rng.choice(entries)
            try:
                connection = _connect(entry, rng)
            except OSError:
                gevent.sleep(_BUSY_PAUSE_S)
                continue
            with connection:
                self._use(connection, entry, rng, f'c{number}')

    def _use(
        self, connection: Any, entry: str, rng: random.Random, name: str
    ) -> None:
        """Send requests on a kept connection until it ends."""
        is_kept = True
        while is_kept and not self.is_stopped:
            request_id = f'{name}-{len(self.exchanges)}'
            method, kind = rng.choice(_KINDS)
            body = b'x' * rng.choice((0, 10, 3000)) if method == 'POST' else b''
            line = f'{method} /{kind}/{request_id}'
            exchange = Exchange(request_id, entry, line, body)
            self.exchanges.append(exchange)
            is_kept = _exchange(connection, exchange, rng)
            exchange.ended_s = time.monotonic()
            gevent.sleep(_pause_s(exchange, rng))


def fault_of(exchange: Exchange) -> str:
    """Return what is wrong with a complete response, '' if nothing."""
    response = exchange.response
    if response.status != 200:
        return ''
    own = exchange.request_id
    seal = response.headers.get('x-server-seal', '')
    if response.headers.get('x-attempt-id') != own or not seal.endswith(
        f'.{own}'
    ):
        return 'mixed'
    if exchange.kind not in STREAM_KINDS:
        return '' if response.body == body_of(own) else 'mixed'
    numbers = range(1, event_count(own) + 1)
    expected = b''.join(event_of(own, number) for number in numbers)
    return '' if events_of(response.body) == events_of(expected) else 'order'


def events_of(content: bytes) -> list[bytes]:
    """Return the complete events, without lines that are no id or data."""
    events = content.split(b'\n\n')[:-1]
    return [
        b'\n'.join(
            line
            for line in event.split(b'\n')
            if line.startswith((b'id:', b'data:'))
        )
        for event in events
    ]


def _pause_s(exchange: Exchange, rng: random.Random) -> float:
    """Return the time until the next request; callers honour Retry-After."""
    if exchange.response.status not in (429, 503):
        return rng.random() / 10
    return float(exchange.response.headers.get('retry-after', _BUSY_PAUSE_S))


def _connect(entry: str, rng: random.Random) -> Any:
    connection = socket.create_connection((entry, 8005), _CONNECT_TIMEOUT_S)
    connection.settimeout(None)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if rng.random() < _SLOW_SHARE:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    return connection


def _exchange(connection: Any, exchange: Exchange, rng: random.Random) -> bool:
    """Send a request and read its response; return whether to keep going."""
    leaves = rng.random() < _LEAVE_SHARE
    is_slow = rng.random() < _SLOW_SHARE
    stay_s = rng.uniform(0.1, 1.5) if leaves else _STAY_S
    try:
        with gevent.Timeout(stay_s):
            _send(connection, exchange, rng)
            return _receive(connection, exchange, is_slow)
    except gevent.Timeout:
        exchange.end = LEFT if leaves else LATE
    except (HTTPException, OSError):
        exchange.end = CUT
    return False


def _send(connection: Any, exchange: Exchange, rng: random.Random) -> None:
    form = rng.choice(('length', 'chunk', 'split'))
    lines = [
        f'{exchange.line} HTTP/1.1',
        'Host: fleet.test',
        f'X-Attempt-Id: {exchange.request_id}',
        f'X-Deadline-Ms: {int(DEADLINE_S * 1000)}',
        'Authorization: Token key-1',
    ]
    body = exchange.body
    if exchange.line.startswith('POST') and form == 'length':
        lines.append(f'Content-Length: {len(body)}')
    elif exchange.line.startswith('POST'):
        lines.append('Transfer-Encoding: chunked')
        body = _in_chunks(body, 1 if form == 'chunk' else 3)
    message = b''.join(['\r\n'.join(lines).encode(), b'\r\n\r\n', body])
    cuts = [0, len(message)]
    if form == 'split':
        # The last cut divides the end of the last chunk.
        middle = rng.randrange(1, len(message) - 2)
        cuts = [0, middle, max(middle, len(message) - 3), len(message)]
    for start, end in zip(cuts, cuts[1:]):
        connection.sendall(message[start:end])
        if end < len(message):
            gevent.sleep(rng.uniform(0.002, 0.02))
    exchange.sent_s = time.monotonic()


def _in_chunks(body: bytes, count: int) -> bytes:
    size = max(1, -(-len(body) // count))
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    encoded = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return b''.join([*encoded, b'0\r\n\r\n'])


def _receive(connection: Any, exchange: Exchange, is_slow: bool) -> bool:
    response = HTTPResponse(connection, method=exchange.line.split(' ')[0])
    response.begin()
    headers = {name.lower(): text for name, text in response.getheaders()}
    received = CallerResponse(response.status, headers, b'', False)
    exchange.response = received
    while part := response.read1(_SLOW_READ_BYTES if is_slow else _READ_BYTES):
        received.body += part
        if is_slow:
            gevent.sleep(_SLOW_READ_S)
    if response.length:
        raise IncompleteRead(b'')
    exchange.end = COMPLETE
    return not response.will_close
