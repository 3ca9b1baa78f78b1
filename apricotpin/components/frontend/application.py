"""WSGI application that forwards callers' requests to upstreams."""

import contextlib
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.frontend import refusals
from apricotpin.components.frontend.callers import (
    KIND_OUTCOMES,
    CallerRequest,
    CallerResponse,
)
from apricotpin.components.frontend.const import HEADER_REQUEST_ID
from apricotpin.components.frontend.keyed import look_up_outcome, run_with_key
from apricotpin.components.frontend.repeatable import run_repeatable
from apricotpin.components.frontend.request_context import RequestContext
from apricotpin.const import (
    SERVICE_FRONTEND,
    SERVICE_METRICS,
    SERVICE_ROUTER,
)
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.metrics import count_refusal
from apricotpin.messages.metrics import Observe
from apricotpin.messages.routing import (
    Admit,
    RegisterRequest,
    UnregisterRequest,
    ReleaseTicket,
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterator[bytes]]


class RequestHandler:
    """Handle one caller's request, from its head to the response's end."""

    __slots__ = ('_caller', '_context', '_host_id', '_kernel', '_ticket')

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._host_id = host_id
        self._ticket = uuid.uuid4().hex
        self._caller: CallerRequest | None = None
        self._context: RequestContext | None = None

    def respond(self, environ: dict[str, Any]) -> CallerResponse:
        """Return the response to a request, also in case of a failure."""
        try:
            processed = self._process(environ)
        except Exception as error:
            # A bug must not leave the caller without a response.
            logger.opt(exception=True).error('request_failed')
            processed = Err(Failure(ErrorKind.INTERNAL, repr(error)))
        if processed.is_ok():
            return processed.ok_value
        return self._refuse(processed.err_value)

    def close(self) -> None:
        """Release everything that the request holds."""
        self._kernel.call(SERVICE_ROUTER, ReleaseTicket(self._ticket))
        self._kernel.call(SERVICE_FRONTEND, UnregisterRequest(self._ticket))

    def _process(
        self, environ: dict[str, Any]
    ) -> Result[CallerResponse, Failure]:
        parsed = CallerRequest.from_environ(environ)
        if parsed.is_err():
            return parsed
        self._caller = parsed.ok_value
        allowed = self._kernel.call(
            SERVICE_FRONTEND, RegisterRequest(self._ticket)
        )
        if allowed.is_err():
            return allowed
        if self._caller.kind == KIND_OUTCOMES:
            return look_up_outcome(self._kernel, self._caller)
        return self._admit().and_then(self._serve)

    def _admit(self) -> Result[RequestContext, Failure]:
        started_s = time.monotonic()
        caller = self._caller
        admitted = self._kernel.call(
            SERVICE_ROUTER,
            Admit(
                self._ticket,
                caller.service_name,
                caller.workspace,
                caller.priority,
            ),
        )
        if admitted.is_err():
            return admitted
        deadline_s = started_s + admitted.ok_value.service.timeout_s
        self._context = RequestContext(
            self._kernel,
            caller,
            self._ticket,
            admitted.ok_value,
            deadline_s,
        )
        return Ok(self._context)

    def _serve(
        self, context: RequestContext
    ) -> Result[CallerResponse, Failure]:
        body = context.caller.read_body()
        if body.is_err():
            return body
        context.set_body(body.ok_value)
        if context.progress.is_idempotent:
            return run_repeatable(context)
        return run_with_key(context, self._host_id)

    def _refuse(self, failure: Failure) -> CallerResponse:
        count_refusal(self._kernel, failure.kind)
        error_response = refusals.make_error_response(
            failure.kind, self._uses_key()
        )
        response = CallerResponse.with_failure(failure, error_response)
        caller = self._caller
        is_stopping = failure.kind is ErrorKind.STOPPING
        if caller is None or caller.skip_large_body() or is_stopping:
            response.headers.append(('Connection', 'close'))
        if caller is not None:
            response.headers.append((HEADER_REQUEST_ID, caller.request_id))
        return response

    def _uses_key(self) -> bool:
        if self._context is not None:
            return not self._context.progress.is_idempotent
        # Until the service's rules are known, a request with a key counts as
        # one that may have run before.
        caller = self._caller
        if caller is None:
            return False
        return bool(caller.key) or caller.kind == KIND_OUTCOMES


def make_application(kernel: Kernel, host_id: str) -> Application:
    """Return the WSGI application for the callers' listener."""

    def application(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        started_s = time.monotonic()
        with contextlib.closing(RequestHandler(kernel, host_id)) as handler:
            response = handler.respond(environ)
            start_response(response.status_line(), response.headers)
            _record_duration(kernel, 'first_byte_s', started_s)
            yield from response.parts
        _record_duration(kernel, 'request_duration_s', started_s)

    return application


def _record_duration(kernel: Kernel, metric: str, started_s: float) -> None:
    elapsed_s = time.monotonic() - started_s
    kernel.send(SERVICE_METRICS, Observe(metric, elapsed_s))
