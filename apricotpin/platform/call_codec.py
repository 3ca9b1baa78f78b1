"""Decodes and encodes the heads of requests and responses."""

import re
from http import HTTPStatus
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
_INTEGER: Final = re.compile('[0-9]{1,18}')
# Dates are not accepted, since the time of day of hosts may be wrong.
_DELAY_SECONDS: Final = re.compile(r'[0-9]{1,18}(\.[0-9]{1,18})?')
# Headers that concern one connection only, or that this system sets.
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
        names.HEADER_WORKSPACE,
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
    text_by_name = {name.lower(): text for name, text in headers}
    deadline = text_by_name.get(names.HEADER_DEADLINE.lower())
    if deadline is not None and not _is_integer(deadline):
        return _bad_request(
            f'{names.HEADER_DEADLINE} is {deadline!r:.64}, '
            'expected milliseconds',
        )
    prompt_tokens, output_tokens = _decode_tokens(
        text_by_name.get(names.HEADER_TOKENS.lower(), ''),
    )
    authorization = text_by_name.get(names.HEADER_AUTHORIZATION.lower(), '')
    return Ok(
        RequestHead(
            method=method,
            target=target,
            host=text_by_name.get('host', ''),
            request_id=text_by_name.get(names.HEADER_REQUEST_ID.lower(), ''),
            api_key=_decode_api_key(authorization),
            deadline_s=None if deadline is None else int(deadline) / _MS_PER_S,
            last_event_id=text_by_name.get(
                names.HEADER_LAST_EVENT_ID.lower(), ''
            ),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            forwarded=_select_forwarded(
                headers, text_by_name.get('connection', '')
            ),
            shared_parts=_decode_shared_parts(
                text_by_name.get(names.HEADER_PROMPT.lower(), '')
            ),
        ),
    )


def encode_request(
    head: RequestHead, context: AttemptContext, body: bytes
) -> bytes:
    """Encode a request for an upstream."""
    lines = [f'{head.method} {head.target} HTTP/1.1', f'Host: {head.host}']
    lines.extend(f'{name}: {text}' for name, text in head.forwarded)
    remaining_ms = max(1, int(context.remaining_s * _MS_PER_S))
    lines.append(f'{names.HEADER_DEADLINE}: {remaining_ms}')
    lines.append(f'{names.HEADER_EXPECT_INSTANCE}: {context.instance_id}')
    if context.workspace:
        lines.append(f'{names.HEADER_WORKSPACE}: {context.workspace}')
    if context.is_resumed:
        lines.append(f'{names.HEADER_PRIORITY}: {names.PRIORITY_FIRST}')
    if context.last_event_id:
        lines.append(f'{names.HEADER_LAST_EVENT_ID}: {context.last_event_id}')
    if body or head.method in {'POST', 'PUT', 'PATCH'}:
        lines.append(f'Content-Length: {len(body)}')
    text = '\r\n'.join(lines)
    return f'{text}\r\n\r\n'.encode('latin-1') + body


def decode_response(status: int, headers: Headers) -> ResponseHead:
    """Decode the head of an upstream's response."""
    text_by_name = {name.lower(): text for name, text in headers}
    return ResponseHead(
        status=status,
        headers=[
            (name, text)
            for name, text in headers
            if name.lower() not in _NOT_RETURNED
        ],
        request_id=text_by_name.get(names.HEADER_REQUEST_ID.lower(), ''),
        has_seal=bool(text_by_name.get(names.HEADER_SEAL.lower())),
        not_run=names.HEADER_NOT_RUN.lower() in text_by_name,
        is_misdirected=status == _MISDIRECTED,
        has_encoded_body=text_by_name.get('content-encoding', 'identity')
        != 'identity',
        keep_alive_s=_decode_keep_alive_s(text_by_name.get('keep-alive', '')),
        responder_id=text_by_name.get(names.HEADER_INSTANCE.lower(), ''),
        version=_decode_version(
            text_by_name.get(names.HEADER_VERSION.lower(), '')
        ),
        is_leaving=states_leaving(headers),
        pause_s=_decode_pause_s(status, headers),
        content_type=text_by_name.get('content-type', '')
        .partition(';')[0]
        .strip()
        .lower(),
    )


def states_leaving(headers: Headers) -> bool:
    """Return whether a worker states in its response that it shuts down."""
    return names.LEAVING in _values_of(headers, names.HEADER_LEAVING)


def refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a response that this system generates."""
    headers = [(names.HEADER_REQUEST_ID, request_id)] if request_id else []
    if retry_after_s is not None:
        headers.append((names.HEADER_RETRY_AFTER, f'{retry_after_s:.2f}'))
    return headers


def _select_forwarded(headers: Headers, connection: str) -> Headers:
    connection_options = {
        token.strip().lower() for token in connection.split(',')
    }
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_FORWARDED
        and name.lower() not in connection_options
    ]


def _decode_api_key(authorization: str) -> str:
    if not authorization.startswith(names.AUTHORIZATION_SCHEME):
        return ''
    return authorization.removeprefix(names.AUTHORIZATION_SCHEME).strip()


def _decode_tokens(text: str) -> tuple[int, int]:
    # The header holds the prompt tokens and the most output tokens.
    parts = text.split(',')
    if len(parts) == 2 and all(_is_integer(part.strip()) for part in parts):
        return int(parts[0]), int(parts[1])
    return 0, 0


def _decode_shared_parts(text: str) -> tuple[str, ...]:
    # The header lists ID:TOKENS; the last part is the request's own.
    shared = text.split(',')[:-1]
    parts = [part.partition(':')[0].strip() for part in shared]
    return tuple(dict.fromkeys(filter(None, parts)))


def _decode_version(text: str) -> int:
    # The header holds one integer, although its name is a plural.
    return int(text) if _is_integer(text) else 0


def _is_integer(text: str) -> bool:
    """Return whether a text is an integer that fits in 64 bits.

    str.isdigit() accepts superscripts, which int() rejects, and any length.
    """
    return _INTEGER.fullmatch(text) is not None


def _values_of(headers: Headers, name: str) -> list[str]:
    return [
        text.strip() for found, text in headers if found.lower() == name.lower()
    ]


def _decode_pause_s(status: int, headers: Headers) -> float:
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    delays_s = (
        float(text)
        for text in _values_of(headers, names.HEADER_RETRY_AFTER)
        if _DELAY_SECONDS.fullmatch(text)
    )
    return max(delays_s, default=0)


def _decode_keep_alive_s(text: str) -> float | None:
    for part in text.split(','):
        name, _, amount = part.strip().partition('=')
        if name.lower() == 'timeout' and _is_integer(amount.strip()):
            return float(amount)
    return None


def _bad_request(detail: str) -> Any:
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))
