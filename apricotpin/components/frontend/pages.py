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
    CallerAnswer,
    CallerRequest,
)
from apricotpin.components.frontend.const import HEADER_REQUEST_ID
from apricotpin.components.frontend.job import Job
from apricotpin.components.frontend.keyed import look_up, run_once
from apricotpin.components.frontend.repeatable import run_repeatable
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
    BeginCall,
    EndCall,
    EndRequest,
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterator[bytes]]


class Call:
    """Handle one caller's request, from its head to the response's end."""

    __slots__ = ('_caller', '_host_id', '_job', '_kernel', '_ticket')

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._host_id = host_id
        self._ticket = uuid.uuid4().hex
        self._caller: CallerRequest | None = None
        self._job: Job | None = None

    def answer(self, environ: dict[str, Any]) -> CallerAnswer:
        """Return the response to a request, also in case of a failure."""
        try:
            answered = self._run(environ)
        except Exception as error:
            # A bug must not leave the caller without a response.
            logger.opt(exception=True).error('request_failed')
            answered = Err(Failure(ErrorKind.INTERNAL, repr(error)))
        if answered.is_ok():
            return answered.ok_value
        return self._refuse(answered.err_value)

    def close(self) -> None:
        """Release everything that the request holds."""
        self._kernel.call(SERVICE_ROUTER, EndRequest(self._ticket))
        self._kernel.call(SERVICE_FRONTEND, EndCall(self._ticket))

    def _run(self, environ: dict[str, Any]) -> Result[CallerAnswer, Failure]:
        read = CallerRequest.from_environ(environ)
        if read.is_err():
            return read
        self._caller = read.ok_value
        begun = self._kernel.call(SERVICE_FRONTEND, BeginCall(self._ticket))
        if begun.is_err():
            return begun
        if self._caller.kind == KIND_OUTCOMES:
            return look_up(self._kernel, self._caller)
        return self._admit().and_then(self._serve)

    def _admit(self) -> Result[Job, Failure]:
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
        self._job = Job(
            self._kernel,
            caller,
            self._ticket,
            admitted.ok_value,
            deadline_s,
        )
        return Ok(self._job)

    def _serve(self, job: Job) -> Result[CallerAnswer, Failure]:
        body = job.caller.read_body()
        if body.is_err():
            return body
        job.note_body(body.ok_value)
        if job.progress.idempotent:
            return run_repeatable(job)
        return run_once(job, self._host_id)

    def _refuse(self, failure: Failure) -> CallerAnswer:
        count_refusal(self._kernel, failure.kind)
        told = refusals.answer_to_caller(failure.kind, self._is_keyed())
        answer = CallerAnswer.with_failure(failure, told)
        caller = self._caller
        stopping = failure.kind is ErrorKind.STOPPING
        if caller is None or caller.abandon_body() or stopping:
            answer.headers.append(('Connection', 'close'))
        if caller is not None:
            answer.headers.append((HEADER_REQUEST_ID, caller.request_id))
        return answer

    def _is_keyed(self) -> bool:
        if self._job is not None:
            return not self._job.progress.idempotent
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
        with contextlib.closing(Call(kernel, host_id)) as call:
            answer = call.answer(environ)
            start_response(answer.status_line(), answer.headers)
            _observe(kernel, 'first_byte_s', started_s)
            yield from answer.parts
        _observe(kernel, 'request_duration_s', started_s)

    return application


def _observe(kernel: Kernel, metric: str, started_s: float) -> None:
    elapsed_s = time.monotonic() - started_s
    kernel.send(SERVICE_METRICS, Observe(metric, elapsed_s))
