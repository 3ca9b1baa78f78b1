"""Requests to the platform's store over one persistent connection."""

import base64
import json
import struct
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpRequest, PooledHttpClient, RequestLimits
from apricotpin.platform import names
from apricotpin.platform.entries import DECODE_ERRORS

# The store responds within a few ms, or a few hundred ms when it is slow.
RESPONSE_TIMEOUT_S: Final = 1.5
# A page of 1 MB takes a second over the link between two regions.
TRANSFER_TIMEOUT_S: Final = 4.0
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


class StoreClient:
    """Own one connection to the store; belongs to a single greenlet.

    wait_s is the longest that a read may wait for its first record.
    """

    __slots__ = ('_client',)

    def __init__(self, address: str, wait_s: float = 0) -> None:
        silence_timeout_s = RESPONSE_TIMEOUT_S + wait_s
        limits = RequestLimits(
            RESPONSE_TIMEOUT_S,
            silence_timeout_s,
            silence_timeout_s + TRANSFER_TIMEOUT_S,
            RESPONSE_MAX_BYTES,
        )
        self._client = PooledHttpClient(address, 1, limits)

    def read_newest(self, topic: str) -> Result[RawPage, Failure]:
        """Return the newest record of each key of a topic.

        The store may change between two pages. The returned offset is therefore
        the end offset of the first page, so that such changes are read again.
        """
        path = names.PATH_LOG_NEWEST.format(topic=topic)
        snapshot = RawPage([], -1)
        after = ''
        while True:
            outcome = self._call('GET', path + after)
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
        path = names.PATH_LOG_READ.format(
            topic=topic,
            offset=offset,
            wait_ms=int(wait_s * _MS_PER_S),
        )
        outcome = self._call('GET', path)
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
        outcome = self._call('POST', path, body)
        return outcome.map(lambda _body: None)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Result[bytes, Failure]:
        request = HttpRequest(method, path, body, content_type='')
        outcome = self._client.call(request)
        if outcome.is_err():
            detail = f'{method} {path}: {outcome.err_value.value}'
            return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))
        response = outcome.ok_value
        if response.status == _STATUS_OK:
            return Ok(response.body)
        detail = f'{method} {path}: status {response.status}'
        kind = ErrorKind.LOG_UNAVAILABLE
        if response.status == _STATUS_GONE:
            kind = ErrorKind.LOG_OFFSET_EXPIRED
        return Err(Failure(kind, detail))


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
