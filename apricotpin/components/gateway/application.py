"""WSGI application that forwards callers' requests to upstreams."""

import contextlib
import functools
import random
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger
from result import Err, Result

from apricotpin.components.gateway import (
    attempts,
    decisions,
    hedging,
    log_lines,
    serving,
)
from apricotpin.components.gateway.callers import (
    ENVIRON_REQUEST,
    CallerDisconnected,
    DisconnectWatch,
    RawRequest,
)
from apricotpin.components.gateway.service import (
    RegisterRequest,
    RequestAllowed,
    UnregisterRequest,
)
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_GATEWAY, SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure, error_response_for
from apricotpin.helpers.exchange import Verdict
from apricotpin.helpers.metrics import count_refusal
from apricotpin.messages.requests import CallCodec, RequestHead, Headers
from apricotpin.messages.desired import RouteKind
from apricotpin.messages.metrics import Observe

StartResponse = Callable[[str, Headers], Any]


class RequestHandler:
    """Handle one caller's request, from its head to the response's end."""

    __slots__ = (
        '_codec',
        '_context',
        '_head',
        '_interrupt',
        '_interrupted',
        '_is_registered',
        '_kernel',
        '_outcome',
        '_raw_request',
        '_started_s',
        '_stopping',
        '_watch',
    )

    def __init__(
        self, kernel: Kernel, codec: CallCodec, raw: RawRequest
    ) -> None:
        self._kernel = kernel
        self._codec = codec
        self._raw_request = raw
        self._started_s = time.monotonic()
        self._head: RequestHead | None = None
        self._context: RequestContext | None = None
        self._watch: DisconnectWatch | None = None
        self._outcome: dict[str, Any] = {'outcome': 'caller_left'}
        self._stopping = False
        self._is_registered = False
        # Set by the gateway service if the process ends before the request.
        self._interrupted = Event()
        self._interrupt: Callable[[Event], None] | None = None

    def run(self, start_response: StartResponse) -> Iterator[bytes]:
        """Yield the response body in parts."""
        obtained = self._get_response_safely()
        if obtained.is_err():
            yield self._refuse(obtained.err_value, start_response)
            return
        attempt = obtained.ok_value
        self._outcome = {
            'outcome': 'broken_off',
            'status': attempt.head.status,
            **log_lines.attempt_fields(attempt),
        }
        self._kernel.send(
            SERVICE_METRICS,
            Observe('first_byte_s', time.monotonic() - self._started_s),
        )
        try:
            yield from self._deliver(attempt, start_response)
        except BaseException as error:
            self._outcome.update(
                log_lines.incomplete_fields(self._context, _cause_of(error))
            )
            raise
        self._outcome['outcome'] = 'answered'

    def close(self) -> None:
        """Release the resources that the request holds and log its end."""
        if self._watch is not None:
            self._watch.stop()
        if self._context is not None:
            attempts.cancel_attempt(self._context, Verdict.CALLER_LEFT)
            hedging.end_all(self._context)
        self._unregister()
        self._kernel.send(
            SERVICE_METRICS,
            Observe('request_duration_s', time.monotonic() - self._started_s),
        )
        serving.log_request_end(
            self._context,
            self._head,
            self._started_s,
            self._outcome,
        )

    def _get_response_safely(self) -> Result[Attempt, Failure]:
        try:
            return self._get_response()
        except serving.RequestInterrupted:
            self._stopping = True
            return Err(serving.classify_interruption(self._context))
        except Exception as error:
            # A bug must not leave the caller without a response.
            logger.opt(exception=True).error('request_failed')
            return Err(Failure(ErrorKind.INTERNAL, repr(error)))

    def _get_response(self) -> Result[Attempt, Failure]:
        head = self._codec.decode_request(
            self._raw_request.method,
            self._raw_request.target,
            self._raw_request.headers,
        )
        if head.is_err():
            return head
        self._head = head.ok_value
        self._raw_request.request_id = self._head.request_id
        # The body is read even if the request is refused, so that the
        # connection can carry the next request.
        body = self._raw_request.read_body()
        if body.is_err():
            return body
        # A body may take long, so that a stop may have begun since its head.
        registered = self._register()
        if registered.is_err():
            return registered
        return self._resolve(body.ok_value).and_then(self._run_attempts)

    def _register(self) -> Result[RequestAllowed, Failure]:
        allowed = self._kernel.call(
            SERVICE_GATEWAY, RegisterRequest(self._interrupted)
        )
        self._is_registered = True
        self._stopping = allowed.is_err() or allowed.ok_value.stopping
        self._interrupt = functools.partial(_interrupt, gevent.getcurrent())
        self._interrupted.rawlink(self._interrupt)
        return allowed

    def _unregister(self) -> None:
        if not self._is_registered:
            return
        # From now on the greenlet serves other requests of the connection.
        self._interrupted.unlink(self._interrupt)
        ticket = '' if self._context is None else self._context.memory.ticket
        self._kernel.send(
            SERVICE_GATEWAY, UnregisterRequest(self._interrupted, ticket)
        )

    def _resolve(self, body: bytes) -> Result[RequestContext, Failure]:
        return serving.resolve_request(
            self._kernel,
            self._codec,
            self._head,
            body,
            self._started_s,
        )

    def _run_attempts(
        self, context: RequestContext
    ) -> Result[Attempt, Failure]:
        self._context = context
        self._watch = DisconnectWatch(
            self._raw_request.connection, gevent.getcurrent()
        )
        if context.resolved.route.kind is RouteKind.NON_IDEMPOTENT:
            # A request that is not idempotent runs to its end once it is
            # sent: the caller may want its effect even after disconnecting.
            context.before_send = self._watch.stop
        return serving.run_attempts(context)

    def _deliver(
        self,
        attempt: Attempt,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        headers = [*attempt.head.headers, *self._closing_headers()]
        if attempt.splitter is None:
            headers.append(('Content-Length', str(len(attempt.first_part))))
        start_response(_status_line(attempt.head.status), headers)
        if attempt.splitter is None:
            yield attempt.first_part
        else:
            yield from serving.relay_events(self._context, attempt)

    def _refuse(
        self,
        failure: Failure,
        start_response: StartResponse,
    ) -> bytes:
        remaining_s = serving.remaining_s(
            self._context, self._head, self._started_s
        )
        retry_after_s = decisions.retry_after_s(
            failure, remaining_s, random.random()
        )
        status = error_response_for(failure.kind).http_status
        self._outcome = {
            'outcome': failure.kind.value,
            'status': status,
            'detail': failure.detail,
            'come_back_s': retry_after_s,
        }
        count_refusal(self._kernel, failure.kind)
        request_id = '' if self._head is None else self._head.request_id
        body = failure.kind.value.encode()
        headers = self._codec.refusal_headers(request_id, retry_after_s)
        headers.append(('Content-Type', 'text/plain'))
        headers.append(('Content-Length', str(len(body))))
        headers.extend(self._closing_headers())
        if not self._raw_request.body_read:
            headers.append(('Connection', 'close'))
        start_response(_status_line(status), headers)
        return body

    def _closing_headers(self) -> Headers:
        return [('Connection', 'close')] if self._stopping else []


def make_application(kernel: Kernel, codec: CallCodec) -> Any:
    """Return the WSGI application for the callers' listener."""

    def application(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        with contextlib.closing(
            RequestHandler(kernel, codec, environ[ENVIRON_REQUEST]),
        ) as handler:
            yield from handler.run(start_response)

    return application


def _interrupt(request: gevent.Greenlet, _interrupted: Event) -> None:
    # The hub calls this function, so the request is interrupted at once and not
    # after its end.
    request.throw(serving.RequestInterrupted)


def _cause_of(error: BaseException) -> str:
    """Return why a response that has begun is not complete."""
    if isinstance(error, serving.RequestInterrupted):
        return ErrorKind.STOPPING.value
    if isinstance(error, CallerDisconnected):
        return Verdict.CALLER_LEFT.value
    if isinstance(error, GeneratorExit):
        # The server closes the generator after a write has failed.
        return 'not_written'
    return str(error) or repr(error)


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unregistered'
