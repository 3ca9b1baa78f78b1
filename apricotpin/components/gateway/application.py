"""WSGI application that forwards callers' requests to upstreams."""

import contextlib
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

import gevent
from loguru import logger
from result import Err, Result

from apricotpin.components.gateway import (
    attempts,
    decisions,
    log_lines,
    serving,
)
from apricotpin.components.gateway.callers import (
    ENVIRON_CALL,
    RawCall,
    watch_caller,
)
from apricotpin.components.gateway.service import BeginCall, EndCall
from apricotpin.components.gateway.state import Attempt, Job
from apricotpin.const import SERVICE_GATEWAY, SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure, answer_for
from apricotpin.helpers.metrics import count_refusal
from apricotpin.messages.calls import CallCodec, CallHead, Headers
from apricotpin.messages.desired import RouteKind
from apricotpin.messages.metrics import Observe

StartResponse = Callable[[str, Headers], Any]


class Call:
    """Handle one caller's request, from its head to the response's end."""

    __slots__ = (
        '_codec',
        '_head',
        '_job',
        '_kernel',
        '_outcome',
        '_raw',
        '_started_s',
        '_stopping',
        '_watcher',
    )

    def __init__(self, kernel: Kernel, codec: CallCodec, raw: RawCall) -> None:
        self._kernel = kernel
        self._codec = codec
        self._raw = raw
        self._started_s = time.monotonic()
        self._head: CallHead | None = None
        self._job: Job | None = None
        self._watcher: gevent.Greenlet | None = None
        self._outcome: dict[str, Any] = {'outcome': 'caller_left'}
        self._stopping = False

    def run(self, start_response: StartResponse) -> Iterator[bytes]:
        """Yield the response body in parts."""
        answered = self._obtain_safely()
        if answered.is_err():
            yield self._refuse(answered.err_value, start_response)
            return
        attempt = answered.ok_value
        self._outcome = {
            'outcome': 'broken_off',
            'status': attempt.head.status,
            **log_lines.attempt_fields(attempt),
        }
        self._kernel.send(
            SERVICE_METRICS,
            Observe('first_byte_s', time.monotonic() - self._started_s),
        )
        yield from self._deliver(attempt, start_response)
        self._outcome['outcome'] = 'answered'

    def close(self) -> None:
        """Release the resources that the request holds and log its end."""
        if self._watcher is not None:
            self._watcher.kill(block=False)
        if self._job is not None:
            attempts.abandon(self._job)
        ticket = '' if self._job is None else self._job.ticket
        self._kernel.send(SERVICE_GATEWAY, EndCall(ticket))
        self._kernel.send(
            SERVICE_METRICS,
            Observe('request_duration_s', time.monotonic() - self._started_s),
        )
        serving.log_end(
            self._job,
            self._head,
            self._started_s,
            self._outcome,
        )

    def _obtain_safely(self) -> Result[Attempt, Failure]:
        try:
            return self._obtain()
        except Exception as error:
            # A bug must not leave the caller without a response.
            logger.opt(exception=True).error('request_failed')
            return Err(Failure(ErrorKind.INTERNAL, repr(error)))

    def _obtain(self) -> Result[Attempt, Failure]:
        begun = self._kernel.call(SERVICE_GATEWAY, BeginCall())
        self._stopping = begun.is_err() or begun.ok_value.stopping
        head = self._codec.decode_request(
            self._raw.method,
            self._raw.target,
            self._raw.headers,
        )
        if head.is_err():
            return head
        self._head = head.ok_value
        # The body is read even if the request is refused, so that the
        # connection can carry the next request.
        body = self._raw.read_body()
        if begun.is_err():
            return begun
        return body.and_then(self._prepare).and_then(self._run)

    def _prepare(self, body: bytes) -> Result[Job, Failure]:
        return serving.prepare(
            self._kernel,
            self._codec,
            self._head,
            body,
            self._started_s,
        )

    def _run(self, job: Job) -> Result[Attempt, Failure]:
        self._job = job
        self._watcher = gevent.spawn(
            watch_caller,
            self._raw.connection,
            gevent.getcurrent(),
        )
        if job.resolved.route.kind is RouteKind.NON_IDEMPOTENT:
            # A request that is not idempotent runs to its end once it is
            # sent: the caller may want its effect even after disconnecting.
            job.before_send = self._watcher.kill
        return serving.obtain(job)

    def _deliver(
        self,
        attempt: Attempt,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        headers = [*attempt.head.headers, *self._closing()]
        if attempt.splitter is None:
            headers.append(('Content-Length', str(len(attempt.first_part))))
        start_response(_status_line(attempt.head.status), headers)
        if attempt.splitter is None:
            yield attempt.first_part
        else:
            yield from serving.relay_events(self._job, attempt)

    def _refuse(
        self,
        failure: Failure,
        start_response: StartResponse,
    ) -> bytes:
        left_s = serving.left_s(self._job, self._head, self._started_s)
        back_s = decisions.come_back_s(failure.kind, left_s)
        status = answer_for(failure.kind).http_status
        self._outcome = {
            'outcome': failure.kind.value,
            'status': status,
            'detail': failure.detail,
            'come_back_s': back_s,
        }
        count_refusal(self._kernel, failure.kind)
        request_id = '' if self._head is None else self._head.request_id
        body = failure.kind.value.encode()
        headers = self._codec.refusal_headers(request_id, back_s)
        headers.append(('Content-Type', 'text/plain'))
        headers.append(('Content-Length', str(len(body))))
        headers.extend(self._closing())
        if not self._raw.body_read:
            headers.append(('Connection', 'close'))
        start_response(_status_line(status), headers)
        return body

    def _closing(self) -> Headers:
        return [('Connection', 'close')] if self._stopping else []


def make_application(kernel: Kernel, codec: CallCodec) -> Any:
    """Return the WSGI application for the callers' listener."""

    def application(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        with contextlib.closing(
            Call(kernel, codec, environ[ENVIRON_CALL]),
        ) as call:
            yield from call.run(start_response)

    return application


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unregistered'
