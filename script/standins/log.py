"""Stand-in for the platform's append-only log service."""

import time
import types
from collections import deque
from http import HTTPStatus
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from script.standins.faults import (
    FAULTS,
    SetFaults,
    current_faults,
    register_faults,
)
from script.standins.pacing import Bucket
from script.standins.web import Answer, Request, Route, ask

LOG: Final = 'log'
_MS_PER_S: Final = 1000
# An idle log accepts this many seconds' worth of appends at once.
_BURST_S: Final = 0.25
_EXPIRY_PERIOD_S: Final = 0.5
_STREAM: Final = '/streams/([a-z0-9_.-]+)/records'
_SWITCHES: Final = types.MappingProxyType(
    {
        'outage': False,
        # The next appends take effect, and their replies are lost.
        'lose_replies': 0,
        'delay_s': 0,
    }
)


class Append:
    """Append values to a stream as one request."""

    __slots__ = ('now_s', 'stream', 'values')

    def __init__(self, stream: str, values: list[Any], now_s: float) -> None:
        self.stream = stream
        self.values = values
        self.now_s = now_s


class Read:
    """Read records of a stream from an offset on."""

    __slots__ = ('from_offset', 'limit', 'stream')

    def __init__(self, stream: str, from_offset: int, limit: int) -> None:
        self.stream = stream
        self.from_offset = from_offset
        self.limit = limit


class AwaitOffset:
    """Wait until a stream has a record at this offset."""

    __slots__ = ('offset', 'stream')

    def __init__(self, stream: str, offset: int) -> None:
        self.stream = stream
        self.offset = offset


class Expire:
    """Drop records older than the retention."""

    __slots__ = ()


class GetCounters:
    """Ask for the counters."""

    __slots__ = ()


class Appended:
    """Tell where an append stands."""

    __slots__ = ('first_offset', 'next_offset')

    def __init__(self, first_offset: int, next_offset: int) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset


class Record:
    """Hold one record."""

    __slots__ = ('appended_s', 'content', 'offset')

    def __init__(self, offset: int, appended_s: float, content: Any) -> None:
        self.offset = offset
        self.appended_s = appended_s
        self.content = content


class Stream:
    """Hold the records of a stream that have not expired."""

    __slots__ = ('next_offset', 'records', 'waiting')

    def __init__(self) -> None:
        self.next_offset = 0
        self.records: deque[Record] = deque()
        self.waiting: list[Reply] = []

    @property
    def earliest_offset(self) -> int:
        """Return the offset of the earliest record kept."""
        return self.records[0].offset if self.records else self.next_offset

    def append(self, entries: list[Any], now_s: float) -> Appended:
        """Add records."""
        first_offset = self.next_offset
        for content in entries:
            self.records.append(Record(self.next_offset, now_s, content))
            self.next_offset += 1
        return Appended(first_offset, self.next_offset)

    def expire(self, before_s: float) -> None:
        """Drop records appended before a time."""
        while self.records and self.records[0].appended_s < before_s:
            self.records.popleft()

    def page(self, from_offset: int, limit: int) -> dict[str, Any]:
        """Return records from an offset on, and the bounds of the stream."""
        skipped = max(0, from_offset - self.earliest_offset)
        chosen = list(self.records)[skipped : skipped + limit]
        return {
            'records': [
                {
                    'offset': record.offset,
                    'appended_ms': int(record.appended_s * _MS_PER_S),
                    'value': record.content,
                }
                for record in chosen
            ],
            'earliest_offset': self.earliest_offset,
            'next_offset': self.next_offset,
        }


class LogService:
    """Own the streams and the append quota."""

    __slots__ = ('_counters', '_quota', '_retention_s', '_streams')

    def __init__(self, appends_per_s: float, retention_s: float) -> None:
        self._quota = Bucket(appends_per_s, _BURST_S)
        self._retention_s = retention_s
        self._streams: dict[str, Stream] = {}
        self._counters = {'appends': 0, 'records': 0, 'refused': 0, 'reads': 0}

    def append(self, message: Append, reply: Reply) -> None:
        """Append records, or refuse above the rate limit."""
        if not self._quota.admit(message.now_s):
            self._counters['refused'] += 1
            reply.err(ErrorKind.OVERLOADED, 'too many appends')
            return
        self._counters['appends'] += 1
        self._counters['records'] += len(message.values)
        stream = self._stream(message.stream)
        reply.ok(stream.append(message.values, message.now_s))
        for waiting in stream.waiting:
            waiting.ok()
        stream.waiting = []

    def read(self, message: Read, reply: Reply) -> None:
        """Answer with a page of records."""
        self._counters['reads'] += 1
        stream = self._stream(message.stream)
        reply.ok(stream.page(message.from_offset, message.limit))

    def wait(self, message: AwaitOffset, reply: Reply) -> None:
        """Answer at the next append, or at once if the offset is there."""
        stream = self._stream(message.stream)
        if stream.next_offset > message.offset:
            reply.ok()
            return
        stream.waiting.append(reply)

    def expire(self, _message: Expire, reply: Reply) -> None:
        """Drop records older than the retention."""
        for stream in self._streams.values():
            stream.expire(time.time() - self._retention_s)
        reply.ok()

    def report(self, _message: GetCounters, reply: Reply) -> None:
        """Answer with the counters."""
        reply.ok(dict(self._counters))

    def _stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream())


def set_up(
    kernel: Kernel,
    appends_per_s: float,
    retention_s: float,
) -> list[Route]:
    """Start the log and return its routes; rates are in appends/s."""
    routes = register_faults(kernel, _SWITCHES)
    service = LogService(appends_per_s, retention_s)
    kernel.register(
        LOG,
        {
            Append: service.append,
            Read: service.read,
            AwaitOffset: service.wait,
            Expire: service.expire,
            GetCounters: service.report,
        },
    )
    kernel.send_every(LOG, Expire(), _EXPIRY_PERIOD_S)

    def counters_page(_request: Request) -> Answer:
        return Answer.with_json(ask(kernel, LOG, GetCounters()))

    return [
        *routes,
        ('POST', _STREAM, _append_page(kernel)),
        ('GET', _STREAM, _read_page(kernel)),
        ('GET', '/counters', counters_page),
    ]


def _append_page(kernel: Kernel) -> Any:
    def append_page(request: Request, stream: str) -> Answer:
        entries = list(request.document()['records'])
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return _outage()
        outcome = kernel.call(LOG, Append(stream, entries, time.time()))
        if outcome.is_err():
            detail = outcome.err_value.detail
            return Answer.with_error(HTTPStatus.TOO_MANY_REQUESTS, detail)
        _lose_reply(kernel, request, faults['lose_replies'])
        appended = outcome.ok_value
        return Answer.with_json(
            {
                'first_offset': appended.first_offset,
                'next_offset': appended.next_offset,
            }
        )

    return append_page


def _lose_reply(kernel: Kernel, request: Request, remaining: int) -> None:
    if not remaining:
        return
    ask(kernel, FAULTS, SetFaults({'lose_replies': remaining - 1}))
    request.close_connection()


def _read_page(kernel: Kernel) -> Any:
    def read_page(request: Request, stream: str) -> Answer:
        from_offset = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 100))
        wait_s = int(request.query.get('wait_ms', 0)) / _MS_PER_S
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return _outage()
        if wait_s:
            kernel.call(LOG, AwaitOffset(stream, from_offset), wait_s)
        if current_faults(kernel)['outage']:
            return _outage()
        return Answer.with_json(
            ask(kernel, LOG, Read(stream, from_offset, limit)),
        )

    return read_page


def _outage() -> Answer:
    return Answer.with_error(HTTPStatus.SERVICE_UNAVAILABLE, 'outage')
