"""Calls of the load generator, each with its own known right answer."""

import json
import os
import random
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Any, Final

from script.standins.contents import plain_response, token_of

_MS_PER_S: Final = 1000
_UUID_VERSION: Final = 7
_DONE: Final = b'data: [DONE]'
_DATA: Final = b'data: '
_ERROR_EVENT: Final = b'event: error'

# Verdicts on an answer.
RIGHT: Final = 'right'
WRONG: Final = 'wrong'
LOST: Final = 'lost'
REFUSED: Final = 'refused'


class CallerAnswer:
    """Hold what a caller received."""

    __slots__ = ('body', 'complete', 'headers', 'status')

    def __init__(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
        complete: bool,
    ) -> None:
        self.status = status
        # Names are in lower case.
        self.headers = headers
        self.body = body
        self.complete = complete


class Call:
    """Hold one request and the check of its answer."""

    __slots__ = (
        'body',
        'check',
        'key',
        'kind',
        'method',
        'path',
        'repeated',
        'request_id',
        'streamed',
    )

    def __init__(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        check: Callable[[CallerAnswer], str],
    ) -> None:
        self.kind = kind
        self.method = method
        self.path = path
        self.body = body
        # Takes a complete answer with status 200 and returns a verdict.
        self.check = check
        self.key = ''
        self.streamed = False
        # Whether the caller sends a right answer's request a second time.
        self.repeated = False
        self.request_id = uuid.uuid4().hex

    def headers(self, workspace: str, priority: int) -> dict[str, str]:
        """Return the header fields of the request."""
        fields = {
            'X-Workspace': workspace,
            'X-Priority': str(priority),
            'X-Request-Id': self.request_id,
            'Content-Type': 'application/json',
        }
        return {**fields, 'Idempotency-Key': self.key} if self.key else fields

    def again(self) -> 'Call':
        """Return the same request under the same key, with a new id."""
        kind = f'{self.kind}_repeat'
        call = Call(kind, self.method, self.path, self.body, self.check)
        call.key = self.key
        return call


MakeCall = Callable[[str], Call]


def new_key() -> str:
    """Return a UUID version 7 (RFC 9562) of the present time."""
    now_ms = int(time.time() * _MS_PER_S)
    raw = now_ms.to_bytes(6, 'big') + os.urandom(10)
    bits = int.from_bytes(raw, 'big')
    bits = bits & ~(0xF << 76) | _UUID_VERSION << 76
    bits = bits & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=bits))


def generations(service: str, tokens: int, streamed: bool) -> MakeCall:
    """Return a function that makes generations, streamed or in one piece."""

    def make_call(caller_id: str) -> Call:
        prompt = f'{caller_id} {uuid.uuid4().hex}'
        order = {'prompt': prompt, 'max_tokens': tokens, 'stream': streamed}
        read_tokens = _event_tokens if streamed else _document_tokens

        def check(answer: CallerAnswer) -> str:
            return _check_tokens(answer, read_tokens, prompt, tokens)

        call = Call(
            'streamed' if streamed else 'generation',
            'POST',
            f'/services/{service}/generate',
            json.dumps(order).encode(),
            check,
        )
        call.streamed = streamed
        return call

    return make_call


def reads(service: str, path: str) -> MakeCall:
    """Return a function that makes idempotent requests to a plain service."""

    def make_call(caller_id: str) -> Call:
        own_path = f'{path}/{caller_id}-{uuid.uuid4().hex}'
        return _plain_call('idempotent', service, 'GET', own_path, b'')

    return make_call


def orders(service: str, path: str, repeat_ratio: float = 0) -> MakeCall:
    """Return a function that makes requests that must run at most once.

    A part of them, repeat_ratio, is sent again after a right answer.
    """

    def make_call(caller_id: str) -> Call:
        order = {'caller': caller_id, 'order': uuid.uuid4().hex}
        body = json.dumps(order).encode()
        call = _plain_call('not_idempotent', service, 'POST', path, body)
        call.key = new_key()
        call.repeated = random.random() < repeat_ratio
        return call

    return make_call


def judge(call: Call, answer: CallerAnswer) -> tuple[str, str]:
    """Return the verdict on an answer, and the kind of a refusal.

    An answer is lost if it ended early and nothing said that it would.
    """
    if _ERROR_EVENT in answer.body:
        return REFUSED, 'stream_error'
    if answer.status != 200:
        kind = answer.headers.get('x-error-kind', f'http_{answer.status}')
        return REFUSED, kind
    echoed = answer.headers.get('x-request-id', call.request_id)
    if echoed != call.request_id:
        return WRONG, ''
    return (call.check(answer) if answer.complete else LOST), ''


def _plain_call(
    kind: str,
    service: str,
    method: str,
    path: str,
    body: bytes,
) -> Call:
    right = plain_response(service, method, path, body)

    def check(answer: CallerAnswer) -> str:
        found = _parse(answer.body)
        if found is None:
            return LOST
        return RIGHT if found == right else WRONG

    return Call(kind, method, f'/services/{service}{path}', body, check)


def _check_tokens(
    answer: CallerAnswer,
    read_tokens: Callable[[bytes], list[Any] | None],
    prompt: str,
    count: int,
) -> str:
    found = read_tokens(answer.body)
    if found is None:
        return LOST
    digest = answer.headers.get('x-model-digest', '')
    right = [token_of(digest, prompt, index) for index in range(count)]
    return RIGHT if found == right else WRONG


def _document_tokens(body: bytes) -> list[Any] | None:
    document = _parse(body)
    return None if document is None else document.get('tokens', [])


def _event_tokens(body: bytes) -> list[Any] | None:
    if _DONE not in body:
        return None
    events = [
        _parse(line.removeprefix(_DATA))
        for line in body.splitlines()
        if line.startswith(_DATA) and line != _DONE
    ]
    if [event and event.get('index') for event in events] != list(
        range(len(events))
    ):
        return []
    return [event['token'] for event in events]


def _parse(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
