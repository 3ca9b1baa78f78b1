"""Decodes and encodes the heads of requests and answers."""

from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.requests import (
    AttemptContext,
    CallCodec,
    Headers,
    RequestHead,
    ResponseHead,
)
from apricotpin.platform import names

_MS_PER_S: Final = 1000
_MISDIRECTED: Final = 421
# Headers that concern one connection only, or that the system sets itself.
_NOT_FORWARDED: Final = frozenset(
    name.lower()
    for name in (
        'Connection',
        'Content-Length',
        'Expect',
        'Host',
        'Keep-Alive',
        'Proxy-Connection',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        names.HEADER_AUTHORIZATION,
        names.HEADER_DEADLINE,
        names.HEADER_EXPECT_INSTANCE,
        names.HEADER_LAST_EVENT_ID,
        names.HEADER_PRIORITY,
        names.HEADER_TENANT,
        'Path',
        'X-Expect-Version',
    )
)
_NOT_RETURNED: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def make_codec() -> CallCodec:
    """Return the functions of this wire format."""
    return CallCodec(
        decode_request,
        encode_request,
        decode_response,
        refusal_headers,
    )


def decode_request(
    method: str,
    target: str,
    headers: Headers,
) -> Result[RequestHead, Failure]:
    """Decode the head of a caller's request."""
    single = {name.lower(): text for name, text in headers}
    deadline = single.get(names.HEADER_DEADLINE.lower())
    if deadline is not None and not deadline.isascii():
        return _bad(f'{names.HEADER_DEADLINE} is {deadline!r}')
    if deadline is not None and not deadline.isdigit():
        return _bad(f'{names.HEADER_DEADLINE} is {deadline!r}')
    prompt_tokens, output_tokens = _tokens(
        single.get(names.HEADER_TOKENS.lower(), ''),
    )
    authorization = single.get(names.HEADER_AUTHORIZATION.lower(), '')
    return Ok(
        RequestHead(
            method=method,
            target=target,
            host=single.get('host', ''),
            request_id=single.get(names.HEADER_REQUEST_ID.lower(), ''),
            api_key=_api_key(authorization),
            deadline_s=None if deadline is None else int(deadline) / _MS_PER_S,
            last_event_id=single.get(names.HEADER_LAST_EVENT_ID.lower(), ''),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            forwarded=_forwarded(headers, single.get('connection', '')),
        ),
    )


def encode_request(
    head: RequestHead, handover: AttemptContext, body: bytes
) -> bytes:
    """Encode a request for an upstream."""
    lines = [f'{head.method} {head.target} HTTP/1.1', f'Host: {head.host}']
    lines.extend(f'{name}: {text}' for name, text in head.forwarded)
    left_ms = max(1, int(handover.remaining_s * _MS_PER_S))
    lines.append(f'{names.HEADER_DEADLINE}: {left_ms}')
    lines.append(f'{names.HEADER_EXPECT_INSTANCE}: {handover.instance_id}')
    if handover.workspace:
        lines.append(f'{names.HEADER_TENANT}: {handover.workspace}')
    if handover.is_resumed:
        lines.append(f'{names.HEADER_PRIORITY}: {names.PRIORITY_FIRST}')
    if handover.last_event_id:
        lines.append(f'{names.HEADER_LAST_EVENT_ID}: {handover.last_event_id}')
    if body or head.method in {'POST', 'PUT', 'PATCH'}:
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines)
    return f'{text}\r\n\r\n'.encode('latin-1') + body


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Decode the head of an upstream's answer."""
    single = {name.lower(): text for name, text in headers}
    return ResponseHead(
        status=status,
        headers=[
            (name, text)
            for name, text in headers
            if name.lower() not in _NOT_RETURNED
        ],
        request_id=single.get(names.HEADER_REQUEST_ID.lower(), ''),
        has_seal=bool(single.get(names.HEADER_SEAL.lower())),
        not_run=names.HEADER_NOT_RUN.lower() in single,
        is_misdirected=status == _MISDIRECTED,
        has_encoded_body=single.get('content-encoding', 'identity')
        != 'identity',
        keep_alive_s=_idle_s(single.get('keep-alive', '')),
        responder_id=single.get(names.HEADER_INSTANCE.lower(), ''),
        version=_version(single.get(names.HEADER_VERSION.lower(), '')),
    )


def refusal_headers(request_id: str, come_back_s: float | None) -> Headers:
    """Return the headers of an answer that this system gives itself."""
    headers = [(names.HEADER_REQUEST_ID, request_id)] if request_id else []
    if come_back_s is not None:
        headers.append((names.HEADER_RETRY_AFTER, f'{come_back_s:.2f}'))
    return headers


def _forwarded(headers: Headers, connection: str) -> Headers:
    named = {token.strip().lower() for token in connection.split(',')}
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_FORWARDED and name.lower() not in named
    ]


def _api_key(authorization: str) -> str:
    if not authorization.startswith(names.AUTHORIZATION_SCHEME):
        return ''
    return authorization.removeprefix(names.AUTHORIZATION_SCHEME).strip()


def _tokens(text: str) -> tuple[int, int]:
    # The header holds prompt tokens and the most output tokens.
    parts = text.split(',')
    if len(parts) == 2 and all(part.strip().isdigit() for part in parts):
        return int(parts[0]), int(parts[1])
    return 0, 0


def _version(text: str) -> int:
    # One integer, though the header's name is a plural.
    return int(text) if text.isascii() and text.isdigit() else 0


def _idle_s(text: str) -> float | None:
    for part in text.split(','):
        name, _, amount = part.strip().partition('=')
        if name.lower() == 'timeout' and amount.strip().isdigit():
            return float(amount)
    return None


def _bad(detail: str) -> Any:
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))
