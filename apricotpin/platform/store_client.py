"""Requests to the platform's store over a few persistent connections."""

import base64
import copy
import json
import struct
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.const import STORE_OVERDUE_S, STORE_TIMEOUT_S
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hedged_reads import HedgeLimits, call_hedged
from apricotpin.helpers.http import (
    HttpRequest,
    HttpResult,
    PooledHttpClient,
    RequestLimits,
)
from apricotpin.platform import names
from apricotpin.platform.entries import DECODE_ERRORS

# A page of 1 MB takes a second over the link between two regions. A read is
# sent again TRANSFER_OVERDUE_S after its response began; TRANSFER_TIMEOUT_S is
# the time that each attempt has for its response.
TRANSFER_OVERDUE_S: Final = 1.5
TRANSFER_TIMEOUT_S: Final = 4.0
# A read has at most two attempts at a time.
CONNECTIONS_PER_READ: Final = 2
# A page holds 1 MB, a third more in base64; records are longer as text.
RESPONSE_MAX_BYTES: Final = 8388608
_MS_PER_S: Final = 1000
_RECORD_LENGTH: Final = struct.Struct('>I')
_PAGE_HEADER: Final = struct.Struct('>QQ')
_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410


class RawPage:
    """Hold undecoded records (key, content) and the offset to read next."""

    __slots__ = ('next_offset', 'records')

    def __init__(
        self,
        records: list[tuple[str, bytes]],
        next_offset: int,
    ) -> None:
        self.records = records
        self.next_offset = next_offset


_HEDGE_LIMITS: Final = HedgeLimits(
    STORE_OVERDUE_S, TRANSFER_OVERDUE_S, STORE_TIMEOUT_S
)


class StoreClient:
    """Own the connections to the store of a few concurrent requests."""

    __slots__ = ('_client',)

    def __init__(
        self, address: str, connections: int = CONNECTIONS_PER_READ
    ) -> None:
        limits = RequestLimits(
            STORE_TIMEOUT_S,
            STORE_TIMEOUT_S,
            STORE_TIMEOUT_S + TRANSFER_TIMEOUT_S,
            RESPONSE_MAX_BYTES,
        )
        self._client = PooledHttpClient(address, connections, limits)

    def read_newest(self, topic: str) -> Result[RawPage, Failure]:
        """Return the newest record of each key of a topic.

        The store may change between two pages. The returned offset is therefore
        the end offset of the first page, so that such changes are read again.
        """
        path = names.PATH_LOG_NEWEST.format(topic=topic)
        snapshot = RawPage([], -1)
        after = ''
        while True:
            request = HttpRequest('GET', path + after, content_type='')
            outcome = self._read(request, copy.copy(request))
            if outcome.is_err():
                return outcome
            try:
                page = json.loads(outcome.ok_value)
                last_key = _add_newest(snapshot, page)
            except DECODE_ERRORS as error:
                detail = f'GET {path}: malformed page: {error!r:.200}'
                return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))
            if not page.get('has_more') or not last_key:
                return Ok(snapshot)
            after = f'&after={last_key}'

    def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
    ) -> Result[RawPage, Failure]:
        """Return the records from an offset on; wait up to wait_s for one."""
        outcome = self._read(
            _changes_request(topic, offset, wait_s),
            _changes_request(topic, offset, 0),
        )
        return outcome.and_then(lambda body: _parse_page(body, offset))

    def append(
        self,
        topic: str,
        key: str,
        content: bytes,
    ) -> Result[None, Failure]:
        """Append a record; empty content removes the key."""
        name = key.encode()
        record = bytes([len(name)]) + name + content
        path = names.PATH_LOG_APPEND.format(topic=topic)
        body = _RECORD_LENGTH.pack(len(record)) + record
        request = HttpRequest('POST', path, body, content_type='')
        outcome = _body_of(request, self._client.call(request))
        return outcome.map(lambda _body: None)

    def drop_idle(self) -> None:
        """Close the idle connections."""
        self._client.drop_idle()

    def _read(
        self, request: HttpRequest, second: HttpRequest
    ) -> Result[bytes, Failure]:
        outcome = call_hedged(self._client, request, second, _HEDGE_LIMITS)
        return _body_of(request, outcome)


def _changes_request(topic: str, offset: int, wait_s: float) -> HttpRequest:
    path = names.PATH_LOG_READ.format(
        topic=topic,
        offset=offset,
        wait_ms=int(wait_s * _MS_PER_S),
    )
    request = HttpRequest('GET', path, content_type='')
    request.wait_s = wait_s
    return request


def _body_of(
    request: HttpRequest, outcome: HttpResult
) -> Result[bytes, Failure]:
    """Return the body of a response with status 200, or a failure."""
    called = f'{request.method} {request.url}'
    if outcome.is_err():
        detail = f'{called}: {outcome.err_value.value}'
        return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))
    response = outcome.ok_value
    if response.status == _STATUS_OK:
        return Ok(response.body)
    kind = ErrorKind.LOG_UNAVAILABLE
    if response.status == _STATUS_GONE:
        kind = ErrorKind.LOG_OFFSET_EXPIRED
    return Err(Failure(kind, f'{called}: status {response.status}'))


def _add_newest(snapshot: RawPage, page: Any) -> str:
    """Add a page of newest records; return its last key."""
    if snapshot.next_offset < 0:
        snapshot.next_offset = page['end_offset']
    last_key = ''
    for record in page['items']:
        last_key = record['key']
        content = base64.b64decode(record.get('value') or '')
        snapshot.records.append((last_key, content))
    return last_key


def _parse_page(body: bytes, offset: int) -> Result[RawPage, Failure]:
    try:
        records = list(_split_records(body[_PAGE_HEADER.size :]))
    except (struct.error, IndexError, UnicodeDecodeError) as error:
        return Err(Failure(ErrorKind.LOG_UNAVAILABLE, repr(error)))
    return Ok(RawPage(records, offset + len(records)))


def _split_records(body: bytes) -> Any:
    position = 0
    while position < len(body):
        length = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise IndexError(f'record has {len(record)} of {length} bytes')
        position += length
        yield _split_record(record)


def _split_record(record: bytes) -> tuple[str, bytes]:
    # Another program may write a key that is not UTF-8. Invalid bytes are
    # replaced, so that the record has a key that nothing refers to.
    if not record:
        return '', b''
    key_end = 1 + record[0]
    return record[1:key_end].decode('utf-8', 'replace'), record[key_end:]
