"""Stand-in for the origin and the rate-limited store of weights."""

import types
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from script.standins.contents import Weights, encode_manifest, manifest_of
from script.standins.faults import (
    FAULTS,
    SetFaults,
    current_faults,
    register_faults,
)
from script.standins.pacing import Bucket
from script.standins.web import Answer, Request, Route, ask

ORIGIN: Final = 'origin'
_BURST_S: Final = 0.25
_PART_BYTES: Final = 16384
_SWITCHES: Final = types.MappingProxyType(
    {
        'down': False,
        'busy': False,
        # Extra seconds before each chunk.
        'delay_s': 0,
        # The next chunks are sent with a changed byte.
        'corrupt_chunks': 0,
    }
)


class GetChunk:
    """Ask for a chunk."""

    __slots__ = ('index', 'name')

    def __init__(self, name: str, index: int) -> None:
        self.name = name
        self.index = index


class GetManifest:
    """Ask for the encoded manifest of a version."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        self.name = name


class NoteSent:
    """Count bytes about to be sent and learn when they may go out."""

    __slots__ = ('name', 'size_bytes')

    def __init__(self, name: str, size_bytes: int) -> None:
        self.name = name
        self.size_bytes = size_bytes


class GetCounters:
    """Ask for the counters."""

    __slots__ = ()


class OriginService:
    """Own the versions, the quotas and the counters."""

    __slots__ = ('_counters', '_manifests', '_pace', '_quota', '_versions')

    def __init__(
        self,
        versions: list[Weights],
        bytes_per_s: float,
        requests_per_s: float,
    ) -> None:
        self._versions = {
            f'{weights.model}/{weights.version}': weights
            for weights in versions
        }
        self._manifests: dict[str, bytes] = {}
        self._pace = Bucket(bytes_per_s, 0)
        self._quota = Bucket(requests_per_s, _BURST_S)
        self._counters: dict[str, Any] = {
            'requests': 0,
            'refused': 0,
            'bytes_sent': 0,
            'bytes_by_version': {},
        }

    def manifest(self, message: GetManifest, reply: Reply) -> None:
        """Answer with the encoded manifest, computed once."""
        if message.name not in self._versions:
            reply.err(ErrorKind.VERSION_UNKNOWN, message.name)
            return
        if message.name not in self._manifests:
            manifest = manifest_of(self._versions[message.name])
            self._manifests[message.name] = encode_manifest(manifest)
        reply.ok(self._manifests[message.name])

    def chunk(self, message: GetChunk, reply: Reply) -> None:
        """Answer with a chunk, or refuse above the rate limit."""
        self._counters['requests'] += 1
        weights = self._versions.get(message.name)
        if weights is None or not message.index < weights.chunk_count:
            reply.err(ErrorKind.VERSION_UNKNOWN, message.name)
            return
        if not self._quota.admit(gevent.get_hub().loop.now()):
            self._counters['refused'] += 1
            reply.err(ErrorKind.ORIGIN_BUSY, 'too many requests')
            return
        reply.ok(weights.chunk(message.index))

    def note_sent(self, message: NoteSent, reply: Reply) -> None:
        """Count bytes and answer with the seconds to wait for them."""
        sent = self._counters['bytes_by_version']
        sent[message.name] = sent.get(message.name, 0) + message.size_bytes
        self._counters['bytes_sent'] += message.size_bytes
        now_s = gevent.get_hub().loop.now()
        reply.ok(self._pace.reserve(message.size_bytes, now_s))

    def report(self, _message: GetCounters, reply: Reply) -> None:
        """Answer with the counters."""
        reply.ok(
            {
                **self._counters,
                'bytes_by_version': dict(self._counters['bytes_by_version']),
            }
        )


def set_up(
    kernel: Kernel,
    versions: list[Weights],
    bytes_per_s: float,
    requests_per_s: float,
) -> list[Route]:
    """Start the origin and return its routes; a rate of 0 means no limit."""
    routes = register_faults(kernel, _SWITCHES)
    service = OriginService(versions, bytes_per_s, requests_per_s)
    kernel.register(
        ORIGIN,
        {
            GetManifest: service.manifest,
            GetChunk: service.chunk,
            NoteSent: service.note_sent,
            GetCounters: service.report,
        },
    )

    def counters_page(_request: Request) -> Answer:
        return Answer.with_json(ask(kernel, ORIGIN, GetCounters()))

    version = '/weights/([^/]+/[^/]+)'
    return [
        *routes,
        ('GET', f'{version}/manifest', _manifest_page(kernel)),
        ('GET', f'{version}/chunks/([0-9]+)', _chunk_page(kernel)),
        ('GET', '/counters', counters_page),
    ]


def _manifest_page(kernel: Kernel) -> Any:
    def manifest_page(_request: Request, name: str) -> Answer:
        refusal = _refusal(kernel)
        if refusal is not None:
            return refusal
        outcome = kernel.call(ORIGIN, GetManifest(name))
        if outcome.is_err():
            return Answer.with_error(HTTPStatus.NOT_FOUND, name)
        headers = [('Content-Type', 'application/json')]
        return Answer(HTTPStatus.OK, outcome.ok_value, headers)

    return manifest_page


def _chunk_page(kernel: Kernel) -> Any:
    def chunk_page(_request: Request, name: str, index: str) -> Answer:
        refusal = _refusal(kernel)
        if refusal is not None:
            return refusal
        outcome = kernel.call(ORIGIN, GetChunk(name, int(index)))
        if outcome.is_err():
            failure = outcome.err_value
            busy = failure.kind is ErrorKind.ORIGIN_BUSY
            status = (
                HTTPStatus.TOO_MANY_REQUESTS if busy else HTTPStatus.NOT_FOUND
            )
            return Answer.with_error(status, failure.detail)
        chunk = _corrupted(kernel, outcome.ok_value)
        headers = [('Content-Length', str(len(chunk)))]
        parts = _paced_parts(kernel, name, chunk)
        return Answer(HTTPStatus.OK, headers=headers, parts=parts)

    return chunk_page


def _refusal(kernel: Kernel) -> Answer | None:
    faults = current_faults(kernel)
    gevent.sleep(faults['delay_s'])
    if faults['down']:
        return Answer.with_error(HTTPStatus.SERVICE_UNAVAILABLE, 'down')
    if faults['busy']:
        return Answer.with_error(HTTPStatus.TOO_MANY_REQUESTS, 'busy')
    return None


def _corrupted(kernel: Kernel, chunk: bytes) -> bytes:
    remaining = current_faults(kernel)['corrupt_chunks']
    if not remaining:
        return chunk
    ask(kernel, FAULTS, SetFaults({'corrupt_chunks': remaining - 1}))
    return bytes([chunk[0] ^ 1]) + chunk[1:]


def _paced_parts(kernel: Kernel, name: str, chunk: bytes) -> Iterator[bytes]:
    for start in range(0, len(chunk), _PART_BYTES):
        part = chunk[start : start + _PART_BYTES]
        gevent.sleep(ask(kernel, ORIGIN, NoteSent(name, len(part))))
        yield part
