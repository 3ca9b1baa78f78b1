"""Stand-in for a worker whose responses pause and whose calls end late.

It follows the platform's pages on slots, orders, sequence and staged pieces.
Figures on its layers and runs do not depend on the code under test.
"""

import contextlib
import json
import random
import time
from collections.abc import Iterator
from typing import Any, Final
from urllib.parse import parse_qsl

import gevent
from gevent.lock import Semaphore
from gevent.socket import MSG_PEEK, wait_read

from script.standins.paced_weights import PacedWeights
from script.standins.platform_worker import LAYERS, respond

SLOTS: Final = 4
# A worker queues a few requests beyond its slots.
QUEUE_MAX: Final = 2
_EVENTS_MIN: Final = 4
_EVENT_COUNTS: Final = 8
_EVENT_INTERVAL_S: Final = 0.08
_WORK_S: Final = 0.1
_DOWN_S: Final = 1.0
# A call without a response holds its connection for longer than any wait.
_UNANSWERED_S: Final = 30.0
_LATE_ORDER_S: Final = (0.2, 2.5)
_LATE_COPY_S: Final = (0.5, 4.0)

# States of a run.
AT_WORK: Final = 'at_work'
COMPLETE: Final = 'complete'
CANCELLED: Final = 'cancelled'
BROKE_OFF: Final = 'broke_off'
DEADLINE: Final = 'deadline'


class WorkerPlan:
    """Hold shares of pausing responses and late calls; 0 means none.

    unanswered_share is the share of the late calls that get no response.
    """

    __slots__ = (
        'late_copy_share',
        'late_order_share',
        'pause_longest_s',
        'pause_share',
        'pause_shortest_s',
        'unanswered_share',
    )

    def __init__(self) -> None:
        self.pause_share: float = 0
        self.pause_shortest_s: float = 0
        self.pause_longest_s: float = 0
        self.late_order_share: float = 0
        self.late_copy_share: float = 0
        self.unanswered_share: float = 0


class Run:
    """Describe one run of a request; times are on the monotonic clock."""

    __slots__ = (
        'body',
        'connection',
        'deadline_s',
        'ended_s',
        'line',
        'request_id',
        'started_s',
        'state',
        'tenant',
        'worker',
    )

    def __init__(self, worker: str, environ: dict[str, Any], body: bytes):
        self.worker = worker
        self.body = body
        self.connection = environ['standin.socket']
        self.line = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        self.request_id = environ.get('HTTP_X_ATTEMPT_ID', '')
        self.tenant = environ.get('HTTP_X_TENANT', '')
        self.started_s = time.monotonic()
        self.deadline_s = (
            self.started_s + int(environ['HTTP_X_DEADLINE_MS']) / 1000
        )
        self.ended_s: float = 0
        self.state = AT_WORK


def event_count(request_id: str) -> int:
    """Return the number of events of the stream for a request."""
    return _EVENTS_MIN + sum(request_id.encode()) % _EVENT_COUNTS


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of the stream for a request."""
    return f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()


def body_of(request_id: str) -> bytes:
    """Return the body of the response to a request that is no stream."""
    return f'{request_id} '.encode() * 200


class PacedWorker:
    """Own a worker's slots and the records of what it received and ran."""

    __slots__ = (
        '_random',
        '_running',
        '_slots',
        '_sockets',
        '_up_s',
        'arrivals',
        'bad_tokens',
        'instance_id',
        'plan',
        'queued',
        'runs',
        'started_ms',
        'weights',
    )

    def __init__(self, instance_id: str, version: int = 1) -> None:
        self.instance_id = instance_id
        self.plan = WorkerPlan()
        self._random = random.Random(instance_id)
        self.arrivals: set[str] = set()
        self.runs: list[Run] = []
        self.bad_tokens = 0
        self._up_s: float = 0
        self._sockets: set[Any] = set()
        self.weights = PacedWeights(version, self._break_off)
        self.started_ms = 0
        self._start()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Respond to one request, as a WSGI application."""
        if time.monotonic() < self._up_s:
            raise ConnectionResetError(104, 'the worker is down')
        self._sockets.add(environ['standin.socket'])
        body = environ['wsgi.input'].read()
        index = int(
            dict(parse_qsl(environ['QUERY_STRING'])).get('chunk_count', 0)
        )
        path = environ['PATH_INFO']
        if path == '/report':
            return respond(start_response, 200, self._report())
        if path.startswith('/stage-get'):
            return respond(start_response, 200, self.weights.staged[index])
        if path.startswith('/stage-put'):
            is_answered = self._wait_late(
                f'copy index={index}', self.plan.late_copy_share, _LATE_COPY_S
            )
            self.weights.stage(index, body)
            return _answer_call(start_response, 200, is_answered)
        if path == '/order':
            is_answered = self._wait_late(
                f'order {body!r}', self.plan.late_order_share, _LATE_ORDER_S
            )
            status = self.weights.accept(json.loads(body))
            return _answer_call(start_response, status, is_answered)
        return self._serve(environ, start_response, body)

    def seed(self, text: str) -> None:
        """Let the pauses and late calls follow from this text."""
        self._random = random.Random(text)

    def restart(self) -> None:
        """Break all connections, forget all but staged pieces, start anew."""
        self._up_s = time.monotonic() + _DOWN_S
        self._break_off()
        self.weights.forget()
        self._start()
        for connection in self._sockets:
            _shut_down(connection)
        self._sockets.clear()
        gevent.spawn_later(_DOWN_S, self.weights.on_change)

    def loaded_weights(self) -> dict[str, Any]:
        """Return the weights that the worker reports as loaded."""
        return {**self.weights.report(), 'born': self.started_ms}

    def _start(self) -> None:
        self._slots = Semaphore(SLOTS)
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self.queued = 0
        self._running: set[Run] = set()

    def _report(self) -> bytes:
        fields = {
            'phase': 'unified',
            'active': len(self._running),
            'queued': self.queued,
            'busy': self.weights.is_busy,
            **self.loaded_weights(),
        }
        return json.dumps(fields).encode()

    def _break_off(self) -> None:
        for run in self._running:
            run.state = BROKE_OFF
            run.ended_s = time.monotonic()
            _shut_down(run.connection)

    def _wait_late(
        self, call: str, share: float, span_s: tuple[float, float]
    ) -> bool:
        """Wait before a late call takes effect, though its caller may go.

        Return whether it gets a response.
        """
        started_ms = self.started_ms
        is_answered = True
        if self._random.random() < share:
            is_answered = self._random.random() >= self.plan.unanswered_share
            self.weights.note(f'received late {call}')
            gevent.sleep(self._random.uniform(*span_s))
            self.weights.note(f'takes effect {call} answered={is_answered}')
        if started_ms != self.started_ms:
            raise ConnectionResetError(104, 'the worker has restarted')
        return is_answered

    def _serve(
        self, environ: dict[str, Any], start_response: Any, body: bytes
    ) -> Any:
        request_id = environ.get('HTTP_X_ATTEMPT_ID', '')
        self.arrivals.add(request_id)
        own = [('X-Attempt-Id', request_id)]
        expected = environ.get('HTTP_X_EXPECT_INSTANCE', self.instance_id)
        if expected != self.instance_id:
            return respond(start_response, 421, b'', own)
        if not self._take_slot(int(environ['HTTP_X_DEADLINE_MS']) / 1000):
            not_run = [*own, ('X-Not-Executed', '1')]
            return respond(start_response, 503, b'', not_run)
        if len(self.weights.layers) < LAYERS:
            self._slots.release()
            return respond(start_response, 421, b'', own)
        run = Run(self.instance_id, environ, body)
        self.runs.append(run)
        self._running.add(run)
        self.weights.idle.clear()
        seal = f'{self.instance_id}.{request_id}'
        headers = [*own, ('X-Server-Seal', seal)]
        if '/stream' in run.line or '/talk' in run.line:
            after = int(environ.get('HTTP_LAST_EVENT_ID') or 0)
            headers.append(('Content-Type', 'text/event-stream'))
            parts = [
                event_of(request_id, number)
                for number in range(after + 1, event_count(request_id) + 1)
            ]
        else:
            whole = body_of(request_id)
            headers.append(('Content-Length', str(len(whole))))
            parts = [whole[:500], whole[500:]]
        start_response('200 OK', headers)
        return self._write(run, parts)

    def _take_slot(self, limit_s: float) -> bool:
        slots = self._slots
        if self.weights.is_draining or self.queued >= QUEUE_MAX:
            return False
        self.queued += 1
        is_taken = slots.acquire(timeout=limit_s)
        if slots is not self._slots:
            raise ConnectionResetError(104, 'the worker has restarted')
        self.queued -= 1
        if is_taken and self.weights.is_draining:
            slots.release()
            return False
        return is_taken

    def _write(self, run: Run, parts: list[bytes]) -> Iterator[bytes]:
        slots = self._slots
        with contextlib.ExitStack() as stack:
            stack.callback(self._end, run, slots)
            yield from self._paced(run, parts)
            if run.state == AT_WORK:
                run.state = COMPLETE

    def _end(self, run: Run, slots: Any) -> None:
        if run.state == AT_WORK:
            run.state = CANCELLED
        run.ended_s = run.ended_s or time.monotonic()
        slots.release()
        self._running.discard(run)
        if slots is self._slots and not self._running:
            self.weights.idle.set()

    def _paced(self, run: Run, parts: list[bytes]) -> Iterator[bytes]:
        pause_at, within, pause_s = self._draw_pause(len(parts))
        is_stream = len(parts) != 2
        for index, part in enumerate(parts):
            _wait(run, _EVENT_INTERVAL_S if is_stream else _WORK_S)
            split = len(part) // 2 if within and index == pause_at else 0
            if split:
                yield part[:split]
            if index == pause_at:
                _wait(run, pause_s)
            self.bad_tokens += self.weights.is_token_bad()
            yield part[split:]

    def _draw_pause(self, count: int) -> tuple[int, bool, float]:
        """Return the index of the part that pauses, -1 for none."""
        if not count or self._random.random() >= self.plan.pause_share:
            return -1, False, 0
        pause_s = self._random.uniform(
            self.plan.pause_shortest_s, self.plan.pause_longest_s
        )
        place = self._random.choice(('first', 'between', 'within'))
        index = 0 if place == 'first' else self._random.randrange(count)
        return index, place == 'within', pause_s


def _answer_call(start_response: Any, status: int, is_answered: bool) -> Any:
    if not is_answered:
        gevent.sleep(_UNANSWERED_S)
        raise ConnectionResetError(104, 'a call without a response')
    return respond(start_response, status, b'')


def _wait(run: Run, duration_s: float) -> None:
    """Wait within a run; raise if it broke off or its caller is gone."""
    remaining_s = run.deadline_s - time.monotonic()
    wait_s = max(0, min(duration_s, remaining_s))
    try:
        wait_read(run.connection.fileno(), wait_s, TimeoutError())
        is_gone = not run.connection.recv(1, MSG_PEEK)
    except TimeoutError:
        is_gone = False
    except OSError:
        is_gone = True
    if run.state == AT_WORK and duration_s >= remaining_s and not is_gone:
        run.state = DEADLINE
    if is_gone or run.state != AT_WORK:
        raise ConnectionResetError(104, f'run ended as {run.state}')


def _shut_down(connection: Any) -> None:
    try:
        connection.shutdown(2)
    except OSError:
        return
