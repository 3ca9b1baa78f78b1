"""Requests of the load generator, each with a check of its response."""

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

# Verdicts on a response.
RIGHT: Final = 'right'
WRONG: Final = 'wrong'
LOST: Final = 'lost'
REFUSED: Final = 'refused'


class CallerResponse:
    """Hold a response as a caller received it."""

    __slots__ = ('body', 'headers', 'is_complete', 'status')

    def __init__(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
        is_complete: bool,
    ) -> None:
        self.status = status
        # Header names are in lower case.
        self.headers = headers
        self.body = body
        # Whether the body has the length that the headers announced.
        self.is_complete = is_complete


class CallerRequest:
    """Describe one request and how to check the response to it."""

    __slots__ = (
        'body',
        'check',
        'is_repeated',
        'is_streamed',
        'key',
        'kind',
        'method',
        'path',
        'request_id',
    )

    def __init__(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        check: Callable[[CallerResponse], str],
    ) -> None:
        self.kind = kind
        self.method = method
        self.path = path
        self.body = body
        # Returns the verdict on a complete response with status 200.
        self.check = check
        self.key = ''
        self.is_streamed = False
        # Whether the caller repeats the request after a correct response.
        self.is_repeated = False
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

    def as_repeat(self) -> 'CallerRequest':
        """Return a repeat: the same key and body under a new request id."""
        kind = f'{self.kind}_repeat'
        repeat = CallerRequest(
            kind, self.method, self.path, self.body, self.check
        )
        repeat.key = self.key
        return repeat


# Returns a new request of the caller with the given id.
RequestFactory = Callable[[str], CallerRequest]


def new_key() -> str:
    """Return a UUID version 7 (RFC 9562) with the current time."""
    now_ms = int(time.time() * _MS_PER_S)
    raw = now_ms.to_bytes(6, 'big') + os.urandom(10)
    bits = int.from_bytes(raw, 'big')
    bits = bits & ~(0xF << 76) | _UUID_VERSION << 76
    bits = bits & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=bits))


def generation_factory(
    service: str, tokens: int, streamed: bool
) -> RequestFactory:
    """Return a factory of generation requests, streamed or not."""

    def make_request(caller_id: str) -> CallerRequest:
        prompt = f'{caller_id} {uuid.uuid4().hex}'
        order = {'prompt': prompt, 'max_tokens': tokens, 'stream': streamed}
        read_tokens = _event_tokens if streamed else _document_tokens

        def check(response: CallerResponse) -> str:
            return _check_tokens(response, read_tokens, prompt, tokens)

        request = CallerRequest(
            'streamed' if streamed else 'generation',
            'POST',
            f'/services/{service}/generate',
            json.dumps(order).encode(),
            check,
        )
        request.is_streamed = streamed
        return request

    return make_request


def read_factory(service: str, path: str) -> RequestFactory:
    """Return a factory of idempotent requests to a plain service."""

    def make_request(caller_id: str) -> CallerRequest:
        own_path = f'{path}/{caller_id}-{uuid.uuid4().hex}'
        return _plain_request('idempotent', service, 'GET', own_path, b'')

    return make_request


def order_factory(
    service: str, path: str, repeat_ratio: float = 0
) -> RequestFactory:
    """Return a factory of non-idempotent requests, each with its own key.

    The service must execute each key at most once. The caller repeats a share
    of repeat_ratio of the requests after a correct response.
    """

    def make_request(caller_id: str) -> CallerRequest:
        order = {'caller': caller_id, 'order': uuid.uuid4().hex}
        body = json.dumps(order).encode()
        request = _plain_request('not_idempotent', service, 'POST', path, body)
        request.key = new_key()
        request.is_repeated = random.random() < repeat_ratio
        return request

    return make_request


def classify_response(
    request: CallerRequest,
    response: CallerResponse,
) -> tuple[str, str]:
    """Return the verdict on a response and the error kind of a refusal.

    A response is lost if it ended early without an error event.
    """
    if _ERROR_EVENT in response.body:
        return REFUSED, 'stream_error'
    if response.status != 200:
        kind = response.headers.get('x-error-kind', f'http_{response.status}')
        return REFUSED, kind
    echoed = response.headers.get('x-request-id', request.request_id)
    if echoed != request.request_id:
        return WRONG, ''
    return (request.check(response) if response.is_complete else LOST), ''


def _plain_request(
    kind: str,
    service: str,
    method: str,
    path: str,
    body: bytes,
) -> CallerRequest:
    expected = plain_response(service, method, path, body)

    def check(response: CallerResponse) -> str:
        found = _parse(response.body)
        if found is None:
            return LOST
        return RIGHT if found == expected else WRONG

    return CallerRequest(
        kind, method, f'/services/{service}{path}', body, check
    )


def _check_tokens(
    response: CallerResponse,
    read_tokens: Callable[[bytes], list[Any] | None],
    prompt: str,
    count: int,
) -> str:
    found = read_tokens(response.body)
    if found is None:
        return LOST
    digest = response.headers.get('x-model-digest', '')
    expected = [token_of(digest, prompt, index) for index in range(count)]
    return RIGHT if found == expected else WRONG


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
