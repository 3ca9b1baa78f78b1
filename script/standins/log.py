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
from script.standins.pacing import TokenBucket
from script.standins.web import Request, Response, Route, call_service

LOG: Final = 'log'
_MS_PER_S: Final = 1000
# After an idle time, the appends of this many seconds are accepted at once.
_BURST_S: Final = 0.25
_EXPIRY_PERIOD_S: Final = 0.5
_STREAM: Final = '/streams/([a-z0-9_.-]+)/records'
_DEFAULT_SWITCHES: Final = types.MappingProxyType(
    {
        'outage': False,
        # Number of appends that are stored but get no response.
        'lose_replies': 0,
        'delay_s': 0,
    }
)


class Append:
    """Append values to a stream; now_s is the Unix time of the request."""

    __slots__ = ('now_s', 'stream', 'values')

    def __init__(self, stream: str, values: list[Any], now_s: float) -> None:
        self.stream = stream
        self.values = values
        self.now_s = now_s


class Read:
    """Read at most limit records of a stream, starting at an offset."""

    __slots__ = ('from_offset', 'limit', 'stream')

    def __init__(self, stream: str, from_offset: int, limit: int) -> None:
        self.stream = stream
        self.from_offset = from_offset
        self.limit = limit


class AwaitOffset:
    """Ask for a reply once a stream has a record at this offset."""

    __slots__ = ('offset', 'stream')

    def __init__(self, stream: str, offset: int) -> None:
        self.stream = stream
        self.offset = offset


class Expire:
    """Remove records older than the retention time."""

    __slots__ = ()


class GetCounters:
    """Request the counters of appends, records, refusals and reads."""

    __slots__ = ()


class Appended:
    """Describe the offsets of an append: its first, and the one after it."""

    __slots__ = ('first_offset', 'next_offset')

    def __init__(self, first_offset: int, next_offset: int) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset


class Record:
    """Describe one record; appended_s is a Unix time."""

    __slots__ = ('appended_s', 'content', 'offset')

    def __init__(self, offset: int, appended_s: float, content: Any) -> None:
        self.offset = offset
        self.appended_s = appended_s
        self.content = content


class Stream:
    """Track the unexpired records of a stream and the calls that wait for one.

    Offsets have no gaps and go on after records expired.
    """

    __slots__ = ('next_offset', 'records', 'waiting_replies')

    def __init__(self) -> None:
        self.next_offset = 0
        self.records: deque[Record] = deque()
        self.waiting_replies: list[Reply] = []

    @property
    def earliest_offset(self) -> int:
        """Return the offset of the earliest record that has not expired."""
        return self.records[0].offset if self.records else self.next_offset

    def append(self, entries: list[Any], now_s: float) -> Appended:
        """Add a record for each entry and return their offsets."""
        first_offset = self.next_offset
        for content in entries:
            self.records.append(Record(self.next_offset, now_s, content))
            self.next_offset += 1
        return Appended(first_offset, self.next_offset)

    def expire(self, before_s: float) -> None:
        """Remove records appended before a Unix time."""
        while self.records and self.records[0].appended_s < before_s:
            self.records.popleft()

    def page(self, from_offset: int, limit: int) -> dict[str, Any]:
        """Return records from an offset on, with the stream's offset range."""
        skipped = max(0, from_offset - self.earliest_offset)
        selected = list(self.records)[skipped : skipped + limit]
        return {
            'records': [
                {
                    'offset': record.offset,
                    'appended_ms': int(record.appended_s * _MS_PER_S),
                    'value': record.content,
                }
                for record in selected
            ],
            'earliest_offset': self.earliest_offset,
            'next_offset': self.next_offset,
        }


class LogService:
    """Own the streams, the append quota and the counters."""

    __slots__ = ('_append_quota', '_counters', '_retention_s', '_streams')

    def __init__(self, appends_per_s: float, retention_s: float) -> None:
        self._append_quota = TokenBucket(appends_per_s, _BURST_S)
        self._retention_s = retention_s
        self._streams: dict[str, Stream] = {}
        self._counters = {'appends': 0, 'records': 0, 'refused': 0, 'reads': 0}

    def append(self, message: Append, reply: Reply) -> None:
        """Append records; refuse them above the rate limit."""
        if not self._append_quota.admit(message.now_s):
            self._counters['refused'] += 1
            reply.err(ErrorKind.OVERLOADED, 'too many appends')
            return
        self._counters['appends'] += 1
        self._counters['records'] += len(message.values)
        stream = self._stream(message.stream)
        reply.ok(stream.append(message.values, message.now_s))
        for waiting_reply in stream.waiting_replies:
            waiting_reply.ok()
        stream.waiting_replies = []

    def read(self, message: Read, reply: Reply) -> None:
        """Reply with a page of records."""
        self._counters['reads'] += 1
        stream = self._stream(message.stream)
        reply.ok(stream.page(message.from_offset, message.limit))

    def await_offset(self, message: AwaitOffset, reply: Reply) -> None:
        """Reply at the next append, or at once if the offset exists."""
        stream = self._stream(message.stream)
        if stream.next_offset > message.offset:
            reply.ok()
            return
        stream.waiting_replies.append(reply)

    def expire(self, _message: Expire, reply: Reply) -> None:
        """Remove records older than the retention time."""
        for stream in self._streams.values():
            stream.expire(time.time() - self._retention_s)
        reply.ok()

    def report_counters(self, _message: GetCounters, reply: Reply) -> None:
        """Reply with the counters."""
        reply.ok(dict(self._counters))

    def _stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream())


def set_up(
    kernel: Kernel,
    appends_per_s: float,
    retention_s: float,
) -> list[Route]:
    """Register the log's services and return its routes."""
    routes = register_faults(kernel, _DEFAULT_SWITCHES)
    service = LogService(appends_per_s, retention_s)
    kernel.register(
        LOG,
        {
            Append: service.append,
            Read: service.read,
            AwaitOffset: service.await_offset,
            Expire: service.expire,
            GetCounters: service.report_counters,
        },
    )
    kernel.send_every(LOG, Expire(), _EXPIRY_PERIOD_S)

    def counters_endpoint(_request: Request) -> Response:
        return Response.with_json(call_service(kernel, LOG, GetCounters()))

    return [
        *routes,
        ('POST', _STREAM, _append_endpoint(kernel)),
        ('GET', _STREAM, _read_endpoint(kernel)),
        ('GET', '/counters', counters_endpoint),
    ]


def _append_endpoint(kernel: Kernel) -> Any:
    def append_endpoint(request: Request, stream: str) -> Response:
        entries = list(request.document()['records'])
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return _outage_response()
        outcome = kernel.call(LOG, Append(stream, entries, time.time()))
        if outcome.is_err():
            detail = outcome.err_value.detail
            return Response.with_error(HTTPStatus.TOO_MANY_REQUESTS, detail)
        _drop_response(kernel, request, faults['lose_replies'])
        appended = outcome.ok_value
        return Response.with_json(
            {
                'first_offset': appended.first_offset,
                'next_offset': appended.next_offset,
            }
        )

    return append_endpoint


def _drop_response(kernel: Kernel, request: Request, remaining: int) -> None:
    if not remaining:
        return
    call_service(kernel, FAULTS, SetFaults({'lose_replies': remaining - 1}))
    request.close_connection()


def _read_endpoint(kernel: Kernel) -> Any:
    def read_endpoint(request: Request, stream: str) -> Response:
        from_offset = int(request.query.get('from', 0))
        limit = int(request.query.get('limit', 100))
        wait_s = int(request.query.get('wait_ms', 0)) / _MS_PER_S
        faults = current_faults(kernel)
        gevent.sleep(faults['delay_s'])
        if faults['outage']:
            return _outage_response()
        if wait_s:
            kernel.call(LOG, AwaitOffset(stream, from_offset), wait_s)
        if current_faults(kernel)['outage']:
            return _outage_response()
        return Response.with_json(
            call_service(kernel, LOG, Read(stream, from_offset, limit)),
        )

    return read_endpoint


def _outage_response() -> Response:
    return Response.with_error(HTTPStatus.SERVICE_UNAVAILABLE, 'outage')
