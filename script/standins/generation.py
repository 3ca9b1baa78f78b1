"""Generations of the model engine stand-in: one token per interval."""

import contextlib
import json
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, Final

import gevent

from apricotpin.core import Kernel
from script.standins.contents import token_of
from script.standins.engine_state import (
    ENGINE,
    AcquireSlot,
    ReleaseSlot,
    ServedVersion,
)
from script.standins.faults import (
    FAULTS,
    LOSS_KINDS,
    ResponseFault,
    SwapWithPrevious,
    lose_response,
    take_response_fault,
)
from script.standins.web import Request, Response, call_service

_ADMISSION_TIMEOUT_S: Final = 60.0
_DEFAULT_PRIORITY: Final = '5'
_DEFAULT_TOKENS: Final = 8
_TOKENS_MAX: Final = 4096
# Faults that interrupt a response after its first tokens.
_MID_RESPONSE_FAULTS: Final = (*LOSS_KINDS, 'silent_open', 'truncated')


class GenerationOptions:
    """Carry the options of a generation request."""

    __slots__ = ('is_streamed', 'prompt', 'resume_from', 'tokens_max')

    def __init__(self, fields: Any) -> None:
        self.prompt = str(fields['prompt'])
        tokens_max = int(fields.get('max_tokens', _DEFAULT_TOKENS))
        self.tokens_max = min(tokens_max, _TOKENS_MAX)
        self.resume_from = int(fields.get('resume_from') or 0)
        self.is_streamed = bool(fields.get('stream', False))


class GenerationRun:
    """Track a generation that holds a slot, and the fault of its response."""

    __slots__ = (
        'fault',
        'kernel',
        'options',
        'request',
        'served_version',
        'token_s',
        'tokens_sent',
    )

    def __init__(
        self,
        kernel: Kernel,
        request: Request,
        options: GenerationOptions,
        fault: ResponseFault,
        token_s: float,
    ) -> None:
        self.kernel = kernel
        self.request = request
        self.options = options
        self.fault = fault
        self.token_s = token_s
        self.served_version = ServedVersion('', '')
        self.tokens_sent = 0

    def tokens(self, prompt: str) -> Iterator[str]:
        """Generate the tokens of a prompt, then release the engine's slot."""
        start, end = self.options.resume_from, self.options.tokens_max
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release_slot)
            for index in range(start, end):
                self._apply_fault()
                gevent.sleep(self.token_s)
                yield token_of(self.served_version.digest, prompt, index)
                self.tokens_sent += 1

    def _apply_fault(self) -> None:
        if (
            self.tokens_sent >= self.fault.after_tokens
            and self.fault.kind in _MID_RESPONSE_FAULTS
        ):
            lose_response(self.fault.kind, self.request)

    def _release_slot(self) -> None:
        self.kernel.send(ENGINE, ReleaseSlot(self.tokens_sent))


def make_generate_endpoint(
    kernel: Kernel,
    token_s: float,
) -> Callable[[Request], Response]:
    """Return the endpoint that waits for a slot and runs a generation."""

    def generate_endpoint(request: Request) -> Response:
        options = GenerationOptions(request.document())
        fault = take_response_fault(kernel, request)
        if fault.refuse_status:
            return Response.with_error(
                fault.refuse_status, 'refused by a fault'
            )
        if fault.kind in LOSS_KINDS and not fault.executes:
            lose_response(fault.kind, request)
        priority = int(request.header('X-Priority', _DEFAULT_PRIORITY))
        admitted = kernel.call(
            ENGINE, AcquireSlot(priority), _ADMISSION_TIMEOUT_S
        )
        if admitted.is_err():
            detail = admitted.err_value.detail
            return Response.with_error(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        run = GenerationRun(kernel, request, options, fault, token_s)
        run.served_version = admitted.ok_value
        return _respond(run)

    return generate_endpoint


def _respond(run: GenerationRun) -> Response:
    request_id = run.request.header('X-Request-Id')
    prompt = run.options.prompt
    if run.fault.kind == 'late':
        gevent.sleep(run.fault.delay_s)
    if run.fault.kind == 'crossed':
        swap = SwapWithPrevious(request_id, prompt.encode())
        previous = call_service(run.kernel, FAULTS, swap)
        request_id = previous.request_id
        prompt = previous.content.decode()
    headers = [
        ('X-Request-Id', request_id),
        ('X-Model-Version', run.served_version.version),
        ('X-Model-Digest', run.served_version.digest),
    ]
    if run.options.is_streamed:
        headers.append(('Content-Type', 'text/event-stream'))
        events = _events(run, prompt)
        return Response(HTTPStatus.OK, headers=headers, body_parts=events)
    if run.fault.kind == 'truncated':
        headers.append(('Content-Type', 'application/json'))
        parts = _truncated_document(run, prompt)
        return Response(HTTPStatus.OK, headers=headers, body_parts=parts)
    document = {'tokens': list(run.tokens(prompt))}
    return Response.with_json(document, headers=headers)


def _events(run: GenerationRun, prompt: str) -> Iterator[bytes]:
    index = run.options.resume_from
    for token in run.tokens(prompt):
        event = json.dumps({'index': index, 'token': token})
        yield f'data: {event}\n\n'.encode()
        index += 1
    yield b'data: [DONE]\n\n'


def _truncated_document(run: GenerationRun, prompt: str) -> Iterator[bytes]:
    yield b'{"tokens": ['
    for token in run.tokens(prompt):
        yield f'"{token}", '.encode()
