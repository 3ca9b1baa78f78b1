"""Generation of the model engine stand-in: tokens at a steady interval."""

import contextlib
import json
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any, Final

import gevent

from apricotpin.core import Kernel
from script.standins.contents import token_of
from script.standins.engine_state import ENGINE, Admit, Generation, Release
from script.standins.faults import (
    FAULTS,
    LOSSES,
    AnswerFault,
    SwapExchange,
    lose,
    take_fault,
)
from script.standins.web import Answer, Request, ask

_ADMISSION_S: Final = 60.0
_DEFAULT_PRIORITY: Final = '5'
_DEFAULT_TOKENS: Final = 8
_TOKENS_MAX: Final = 4096
# Faults that cut an answer after its first tokens.
_CUTS: Final = (*LOSSES, 'silent_open', 'truncated')


class Prompt:
    """Hold what a generation was asked for."""

    __slots__ = ('resume_from', 'streamed', 'text', 'tokens_max')

    def __init__(self, fields: Any) -> None:
        self.text = str(fields['prompt'])
        tokens_max = int(fields.get('max_tokens', _DEFAULT_TOKENS))
        self.tokens_max = min(tokens_max, _TOKENS_MAX)
        self.resume_from = int(fields.get('resume_from') or 0)
        self.streamed = bool(fields.get('stream', False))


class Run:
    """Hold an admitted generation and how its tokens are sent."""

    __slots__ = (
        'fault',
        'kernel',
        'prompt',
        'request',
        'sent',
        'served',
        'token_s',
    )

    def __init__(
        self,
        kernel: Kernel,
        request: Request,
        prompt: Prompt,
        fault: AnswerFault,
        token_s: float,
    ) -> None:
        self.kernel = kernel
        self.request = request
        self.prompt = prompt
        self.fault = fault
        self.token_s = token_s
        self.served = Generation('', '')
        self.sent = 0

    def tokens(self, text: str) -> Iterator[str]:
        """Generate tokens, then give the engine's place back."""
        first, end = self.prompt.resume_from, self.prompt.tokens_max
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release)
            for index in range(first, end):
                self._cut()
                gevent.sleep(self.token_s)
                yield token_of(self.served.digest, text, index)
                self.sent += 1

    def _cut(self) -> None:
        if self.sent >= self.fault.after_tokens and self.fault.kind in _CUTS:
            lose(self.fault.kind, self.request)

    def _release(self) -> None:
        self.kernel.send(ENGINE, Release(self.sent))


def make_generate_page(
    kernel: Kernel,
    token_s: float,
) -> Callable[[Request], Answer]:
    """Return the page that admits and answers generations."""

    def generate_page(request: Request) -> Answer:
        prompt = Prompt(request.document())
        fault = take_fault(kernel, request)
        if fault.refuse_status:
            return Answer.with_error(fault.refuse_status, 'refused by a fault')
        if fault.kind in LOSSES and not fault.executes:
            lose(fault.kind, request)
        priority = int(request.header('X-Priority', _DEFAULT_PRIORITY))
        admitted = kernel.call(ENGINE, Admit(priority), _ADMISSION_S)
        if admitted.is_err():
            detail = admitted.err_value.detail
            return Answer.with_error(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        run = Run(kernel, request, prompt, fault, token_s)
        run.served = admitted.ok_value
        return _deliver(run)

    return generate_page


def _deliver(run: Run) -> Answer:
    request_id = run.request.header('X-Request-Id')
    text = run.prompt.text
    if run.fault.kind == 'late':
        gevent.sleep(run.fault.delay_s)
    if run.fault.kind == 'crossed':
        swap = SwapExchange(request_id, text.encode())
        other = ask(run.kernel, FAULTS, swap)
        request_id = other.request_id
        text = other.content.decode()
    headers = [
        ('X-Request-Id', request_id),
        ('X-Model-Version', run.served.version),
        ('X-Model-Digest', run.served.digest),
    ]
    if run.prompt.streamed:
        headers.append(('Content-Type', 'text/event-stream'))
        events = _events(run, text)
        return Answer(HTTPStatus.OK, headers=headers, parts=events)
    if run.fault.kind == 'truncated':
        headers.append(('Content-Type', 'application/json'))
        parts = _cut_document(run, text)
        return Answer(HTTPStatus.OK, headers=headers, parts=parts)
    document = {'tokens': list(run.tokens(text))}
    return Answer.with_json(document, headers=headers)


def _events(run: Run, text: str) -> Iterator[bytes]:
    index = run.prompt.resume_from
    for token in run.tokens(text):
        event = json.dumps({'index': index, 'token': token})
        yield f'data: {event}\n\n'.encode()
        index += 1
    yield b'data: [DONE]\n\n'


def _cut_document(run: Run, text: str) -> Iterator[bytes]:
    yield b'{"tokens": ['
    for token in run.tokens(text):
        yield f'"{token}", '.encode()
