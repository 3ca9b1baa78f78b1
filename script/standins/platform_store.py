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
_NEWEST_PAGE_MAX: Final = 500
# Longer than any test waits.
_SILENT_S: Final = 60
_TRICKLE_PAUSE_S: Final = 0.3


class Outage:
    """Describe a time without responses, for which calls it holds.

    addresses and topics limit the calls to those that arrive at one of these
    addresses and those for one of the topics, unless they are empty. With
    only_open, only calls on connections that were open when it began get no
    response. is_over ends it; a call that was in progress or arrived before
    gets no response after that either.
    """

    __slots__ = ('addresses', 'began_s', 'is_over', 'only_open', 'topics')

    def __init__(
        self,
        addresses: tuple[str, ...] = (),
        topics: tuple[str, ...] = (),
        only_open: bool = False,
    ) -> None:
        self.addresses = addresses
        self.topics = topics
        self.only_open = only_open
        self.began_s = gevent.get_hub().loop.now()
        self.is_over = False

    def applies_on_arrival(self, environ: dict[str, Any], topic: str) -> bool:
        """Return whether a call that arrives now gets no response."""
        is_active = self.only_open or not self.is_over
        return is_active and self.covers(environ, topic)

    def covers(self, environ: dict[str, Any], topic: str) -> bool:
        """Return whether the outage is one of such calls."""
        if self.only_open:
            return environ['standin.opened_s'] <= self.began_s
        is_named = not self.topics or topic in self.topics
        address = _called_address(environ)
        return is_named and (not self.addresses or address in self.addresses)


class PlatformStore:
    """Own the records of each topic and the fault to inject.

    Faults: busy responds with 503, silent does not respond for 60 s, forget
    responds to reads with 410, trickle sends one byte each 0.3 s; an empty text
    means none. Requests that arrive at one of refused_addresses get 503. Each
    host has an address of its own at which it calls the store.
    """

    __slots__ = (
        '_changed',
        'fault',
        'outages',
        'refused_addresses',
        'refused_calls',
        'topics',
    )

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.fault = ''
        self.outages: list[Outage] = []
        self.refused_addresses: set[str] = set()
        self.refused_calls = 0
        self._changed = Event()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Respond to one request, as a WSGI application."""
        if _called_address(environ) in self.refused_addresses:
            self.refused_calls += 1
            return _respond(start_response, 503, b'')
        if self.fault == 'busy':
            return _respond(start_response, 503, b'')
        if self.fault == 'silent':
            gevent.sleep(_SILENT_S)
        query = dict(parse_qsl(environ['QUERY_STRING']))
        silent = [
            outage
            for outage in self.outages
            if outage.applies_on_arrival(environ, query['topic'])
        ]
        if silent:
            gevent.sleep(_SILENT_S)
        operation = {
            '/log-newest': self._read_newest,
            '/log-read': self._read,
            '/log-append': self._append,
        }[environ['PATH_INFO']]
        body = environ['wsgi.input'].read()
        before = len(self.outages)
        status, content = operation(query, body)
        # An outage that began meanwhile holds also if it is over by now.
        if any(
            outage.covers(environ, query['topic'])
            for outage in self.outages[before:]
        ):
            gevent.sleep(_SILENT_S)
        if self.fault == 'trickle':
            return _trickle(start_response, content)
        return _respond(start_response, status, content)

    def put(self, topic: str, key: str, document: Any) -> None:
        """Append a record; without a document, it removes the key."""
        content = b'' if document is None else json.dumps(document).encode()
        self.append(topic, key, content)

    def append(self, topic: str, key: str, content: bytes) -> None:
        """Append a record and wake the reads that wait for one."""
        self.topics.setdefault(topic, []).append((key, content))
        self._changed.set()
        self._changed = Event()

    def _read_newest(self, query: dict[str, str], _body: bytes) -> Any:
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
        entries = list(newest.values())[:_NEWEST_PAGE_MAX]
        page = {'items': entries, 'has_more': False, 'end_offset': len(records)}
        return 200, json.dumps(page).encode()

    def _read(self, query: dict[str, str], _body: bytes) -> Any:
        if self.fault == 'forget':
            return 410, b'{"first_offset": 0}'
        offset = int(query['source'])
        deadline_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            records = self.topics.get(query['topic'], [])
            remaining_s = deadline_s - time.monotonic()
            if len(records) > offset or remaining_s <= 0:
                break
            self._changed.wait(remaining_s)
        encoded = [_OFFSETS.pack(len(records), 0)]
        for key, content in records[offset:]:
            name = key.encode()
            record = bytes([len(name)]) + name + content
            encoded.append(_LENGTH.pack(len(record)) + record)
        return 200, b''.join(encoded)

    def _append(self, query: dict[str, str], body: bytes) -> Any:
        record = body[_LENGTH.size :]
        key_end = 1 + record[0]
        self.append(
            query['topic'],
            record[1:key_end].decode(),
            record[key_end:],
        )
        return 200, b'{"offset": 0, "end_offset": 1}'


def _called_address(environ: dict[str, Any]) -> str:
    return environ['standin.socket'].getsockname()[0]


def _trickle(start_response: Any, content: bytes) -> Any:
    start_response('200 Answer', [('Content-Length', str(len(content)))])
    for byte in content:
        gevent.sleep(_TRICKLE_PAUSE_S)
        yield bytes([byte])


def _respond(start_response: Any, status: int, content: bytes) -> list[bytes]:
    headers = [('Content-Length', str(len(content)))]
    start_response(f'{status} Answer', headers)
    return [content]
