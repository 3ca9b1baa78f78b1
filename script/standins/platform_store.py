"""Stand-in for the platform's store: keyed topics over HTTP."""

import base64
import json
import struct
import time
from typing import Any, Final
from urllib.parse import parse_qsl

import gevent
from gevent.event import Event

_LENGTH: Final = struct.Struct('>I')
_OFFSETS: Final = struct.Struct('>QQ')
_NEWEST_PAGE: Final = 500


class PlatformStore:
    """Own the records of each topic; fault names one, or nothing.

    Faults: busy answers 503, silent answers nothing, forget answers 410.
    refused_addresses holds the addresses of hosts that are turned away.
    """

    __slots__ = ('_changed', 'fault', 'refused_addresses', 'topics')

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.fault = ''
        self.refused_addresses: set[str] = set()
        self._changed = Event()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one call, as a WSGI application."""
        if (
            self.fault == 'busy'
            or environ['REMOTE_ADDR'] in self.refused_addresses
        ):
            return _answer(start_response, 503, b'')
        if self.fault == 'silent':
            gevent.sleep(60)
        query = dict(parse_qsl(environ['QUERY_STRING']))
        call = {
            '/log-newest': self._newest,
            '/log-read': self._read,
            '/log-append': self._append,
        }[environ['PATH_INFO']]
        body = environ['wsgi.input'].read()
        status, content = call(query, body)
        return _answer(start_response, status, content)

    def put(self, topic: str, key: str, document: Any) -> None:
        """Append a record; no document drops the key."""
        content = b'' if document is None else json.dumps(document).encode()
        self.append(topic, key, content)

    def append(self, topic: str, key: str, content: bytes) -> None:
        """Append a record as bytes."""
        self.topics.setdefault(topic, []).append((key, content))
        self._changed.set()
        self._changed = Event()

    def _newest(self, query: dict[str, str], _body: bytes) -> Any:
        records = self.topics.get(query['topic'], [])
        newest = {}
        for offset, (key, content) in enumerate(records):
            newest.pop(key, None)
            if content:
                newest[key] = {
                    'key': key,
                    'value': base64.b64encode(content).decode(),
                    'offset': offset,
                }
        rows = list(newest.values())[:_NEWEST_PAGE]
        page = {'items': rows, 'has_more': False, 'end_offset': len(records)}
        return 200, json.dumps(page).encode()

    def _read(self, query: dict[str, str], _body: bytes) -> Any:
        if self.fault == 'forget':
            return 410, b'{"first_offset": 0}'
        offset = int(query['source'])
        until_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            records = self.topics.get(query['topic'], [])
            left_s = until_s - time.monotonic()
            if len(records) > offset or left_s <= 0:
                break
            self._changed.wait(left_s)
        parts = [_OFFSETS.pack(len(records), 0)]
        for key, content in records[offset:]:
            name = key.encode()
            record = bytes([len(name)]) + name + content
            parts.append(_LENGTH.pack(len(record)) + record)
        return 200, b''.join(parts)

    def _append(self, query: dict[str, str], body: bytes) -> Any:
        record = body[_LENGTH.size :]
        key_end = 1 + record[0]
        self.append(
            query['topic'],
            record[1:key_end].decode(),
            record[key_end:],
        )
        return 200, b'{"offset": 0, "end_offset": 1}'


def _answer(start_response: Any, status: int, content: bytes) -> list[bytes]:
    headers = [('Content-Length', str(len(content)))]
    start_response(f'{status} Answer', headers)
    return [content]
