"""Stand-ins for the platform's workers and for its weights origin."""

import hashlib
import json
import time
from collections.abc import Callable, Iterator
from typing import Any, Final
from urllib.parse import parse_qsl

import gevent

LAYERS: Final = 16
PIECES: Final = 64
PIECE_BYTES: Final = 1024
_EVENTS: Final = 4
_EVENT_INTERVAL_S: Final = 0.05
# How long a crashed worker does not respond, and from the start of a response
# to the crash.
CRASHED_S: Final = 1.0
_CRASH_DELAY_S: Final = 0.03


def piece_of(version: int, index: int) -> bytes:
    """Return the bytes of a piece, computed from version and index."""
    return hashlib.sha256(f'{version}/{index}'.encode()).digest() * (
        PIECE_BYTES // 32
    )


class PromptCrashes:
    """Hold which parts of prompts crash a worker, and its crashes.

    Times are on the monotonic clock; arrivals_s are those of the requests with
    a deadly part. on_restart is called when the worker is back.
    """

    __slots__ = (
        'arrivals_s',
        'deadly_parts',
        'down_until_s',
        'on_restart',
        'times_s',
    )

    def __init__(self) -> None:
        self.deadly_parts: frozenset[str] = frozenset()
        self.arrivals_s: list[float] = []
        self.times_s: list[float] = []
        self.down_until_s: float = 0
        self.on_restart: Callable[[], None] | None = None


class PlatformWorker:
    """Respond to requests as a worker does, with a fault on the next one.

    Faults: reset closes the connection after execution, full refuses with 503
    without execution, unsealed omits the seal, crossed carries another
    request's id, broken_stream breaks off within event 3, slow delays the
    response by 5 s, and error responds with 500. on_fault is called when a
    request gets the fault.

    A request whose prompt has a part of crashes.deadly_parts crashes the worker
    when it begins to write: all connections break, and nothing responds for
    CRASHED_S.
    """

    __slots__ = (
        'crashes',
        'executed_ids',
        'fault',
        'instance_id',
        'on_fault',
        'orders',
        'requests',
        'staged',
        'started_ms',
        'version',
    )

    def __init__(self, instance_id: str, version: int = 1) -> None:
        self.instance_id = instance_id
        self.version = version
        self.started_ms = 1
        self.fault = ''
        self.on_fault: Callable[[], None] | None = None
        self.executed_ids: list[str] = []
        self.requests: list[dict[str, Any]] = []
        self.staged: dict[int, bytes] = {}
        self.orders: list[dict[str, Any]] = []
        self.crashes = PromptCrashes()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Respond to one request, as a WSGI application."""
        self._raise_if_crashed(self.started_ms)
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        query = dict(parse_qsl(environ['QUERY_STRING']))
        if path == '/report':
            fields = {
                'active': 0,
                'queued': 0,
                'busy': False,
                **self.loaded_weights(),
            }
            return respond(start_response, 200, json.dumps(fields).encode())
        if path.startswith('/stage-put'):
            self.staged[int(query['chunk_count'])] = body
            return respond(start_response, 200, b'')
        if path.startswith('/stage-get'):
            content = self.staged.get(int(query['chunk_count']))
            status = 404 if content is None else 200
            return respond(start_response, status, content or b'')
        if path == '/order':
            return self._order(start_response, json.loads(body))
        return self._serve(environ, start_response)

    def loaded_weights(self) -> dict[str, Any]:
        """Return the weights that the worker reports as loaded."""
        layers = [{'source': 0, 'to': LAYERS, 'version': self.version}]
        models = [{'name': 'm', 'version': self.version}]
        return {
            'models': models if self.version else [],
            'layers': layers if self.version else [],
            'born': self.started_ms,
        }

    def _order(self, start_response: Any, order: dict[str, Any]) -> Any:
        self.orders.append(order)
        is_complete = all(
            self.staged.get(index) == piece_of(order['version'], index)
            for index in range(PIECES)
        )
        # A worker loads whatever pieces are staged. A version of -1 shows the
        # test that they were not the complete set of the ordered version.
        self.version = order['version'] if is_complete else -1
        return respond(start_response, 202, b'')

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Any:
        request_id = environ.get('HTTP_X_ATTEMPT_ID', '')
        fault = self.fault
        self.fault = ''
        if fault and self.on_fault is not None:
            self.on_fault()
        self.requests.append(environ)
        headers = [('X-Attempt-Id', request_id), ('X-Server-Seal', 'seal')]
        if environ.get('HTTP_X_EXPECT_INSTANCE') != self.instance_id:
            return respond(start_response, 421, b'', headers[:1])
        if fault == 'full':
            not_run = [headers[0], ('X-Not-Executed', '1')]
            return respond(start_response, 503, b'', not_run)
        self.executed_ids.append(request_id)
        if self.crashes.deadly_parts & set(_prompt_parts(environ)):
            self.crashes.arrivals_s.append(time.monotonic())
            gevent.sleep(_CRASH_DELAY_S)
            self._crash()
        if fault == 'reset':
            raise ConnectionResetError(104, 'reset by a fault')
        if fault == 'crossed':
            headers[0] = ('X-Attempt-Id', 'another')
        if fault == 'unsealed':
            headers.pop()
        if fault == 'slow':
            gevent.sleep(5)
        if 'stream' in environ['PATH_INFO']:
            headers.append(('Content-Type', 'text/event-stream'))
            start_response('200 OK', headers)
            last_event_id = int(environ.get('HTTP_LAST_EVENT_ID') or 0)
            return self._events(last_event_id, fault == 'broken_stream')
        status = 500 if fault == 'error' else 200
        return respond(start_response, status, b'answer', headers)

    def _crash(self) -> None:
        now_s = time.monotonic()
        if now_s >= self.crashes.down_until_s:
            self.crashes.times_s.append(now_s)
            self.crashes.down_until_s = now_s + CRASHED_S
            self.started_ms += 1
            if self.crashes.on_restart is not None:
                gevent.spawn_later(CRASHED_S, self.crashes.on_restart)
        self._raise_if_crashed(self.started_ms)

    def _raise_if_crashed(self, started_ms: int) -> None:
        """Break the connection of a request of another start of the worker."""
        is_down = time.monotonic() < self.crashes.down_until_s
        if is_down or started_ms != self.started_ms:
            raise ConnectionResetError(104, 'the worker has crashed')

    def _events(
        self, last_event_id: int, is_broken_off: bool
    ) -> Iterator[bytes]:
        started_ms = self.started_ms
        for number in range(last_event_id + 1, _EVENTS + 1):
            yield f'id: {number}\ndata: token {number}\n\n'.encode()
            gevent.sleep(_EVENT_INTERVAL_S)
            self._raise_if_crashed(started_ms)
            if is_broken_off and number == 2:
                yield b'id: 3\ndata: to'
                raise ConnectionResetError(104, 'broken off by a fault')


class PlatformOrigin:
    """Serve manifests and pieces.

    The next corrupt_next pieces are corrupt, as are the next corrupt_manifests
    manifests, in the part that corrupt_part names.
    """

    __slots__ = (
        'corrupt_manifests',
        'corrupt_next',
        'corrupt_part',
        'pieces_sent',
    )

    def __init__(self) -> None:
        self.pieces_sent = 0
        self.corrupt_next = 0
        self.corrupt_manifests = 0
        self.corrupt_part = ''

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Respond to one request, as a WSGI application."""
        query = dict(parse_qsl(environ['QUERY_STRING']))
        version = int(query['version'])
        if environ['PATH_INFO'].startswith('/manifest'):
            digests = [
                hashlib.sha256(piece_of(version, index)).hexdigest()
                for index in range(PIECES)
            ]
            fields = {
                'model': 'm',
                'version': version,
                'layers': LAYERS,
                'digests': digests,
            }
            if self.corrupt_manifests:
                self.corrupt_manifests -= 1
                _corrupt_manifest(fields, self.corrupt_part)
            return respond(start_response, 200, json.dumps(fields).encode())
        self.pieces_sent += 1
        content = piece_of(version, int(query['chunk_count']))
        if self.corrupt_next:
            self.corrupt_next -= 1
            content = bytes(reversed(content))
        return respond(start_response, 200, content)


def _corrupt_manifest(fields: dict[str, Any], part: str) -> None:
    """Change one part of a manifest, as one wrong byte could."""
    digests = fields['digests']
    if part == 'digest of piece 5':
        first = '1' if digests[5].startswith('0') else '0'
        digests[5] = first + digests[5][1:]
    elif part == 'number of layers':
        fields['layers'] += 80
    elif part == 'number of pieces':
        digests.pop()


def respond(
    start_response: Any,
    status: int,
    content: bytes,
    headers: list[tuple[str, str]] | None = None,
) -> list[bytes]:
    """Send a response with this content; return its body."""
    fields = [*(headers or ()), ('Content-Length', str(len(content)))]
    start_response(f'{status} Answer', fields)
    return [content]


def _prompt_parts(environ: dict[str, Any]) -> list[str]:
    """Return the parts of a prompt but for the last, which no other has."""
    parts = environ.get('HTTP_X_PROMPT_PREFIX', '').split(',')
    return [part.partition(':')[0].strip() for part in parts[:-1]]
