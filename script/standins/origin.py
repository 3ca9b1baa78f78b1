"""Stand-in for the origin, a rate-limited store of weights."""

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
from script.standins.pacing import TokenBucket
from script.standins.web import Request, Response, Route, call_service

ORIGIN: Final = 'origin'
_BURST_S: Final = 0.25
_PART_BYTES: Final = 16384
_DEFAULT_SWITCHES: Final = types.MappingProxyType(
    {
        'down': False,
        'busy': False,
        # Seconds by which each response is delayed.
        'delay_s': 0,
        # Number of chunks to send with one bit of the first byte flipped.
        'corrupt_chunks': 0,
    }
)


class GetChunk:
    """Request a chunk of a version, named model/version."""

    __slots__ = ('index', 'version_name')

    def __init__(self, version_name: str, index: int) -> None:
        self.version_name = version_name
        self.index = index


class GetManifest:
    """Request the encoded manifest of a version, named model/version."""

    __slots__ = ('version_name',)

    def __init__(self, version_name: str) -> None:
        self.version_name = version_name


class ReserveBytes:
    """Count bytes to be sent and request the delay before they may be sent."""

    __slots__ = ('size_bytes', 'version_name')

    def __init__(self, version_name: str, size_bytes: int) -> None:
        self.version_name = version_name
        self.size_bytes = size_bytes


class GetCounters:
    """Request the counters of requests, refusals and bytes sent."""

    __slots__ = ()


class OriginService:
    """Own the versions, the rate limits and the counters."""

    __slots__ = (
        '_byte_rate',
        '_counters',
        '_manifests',
        '_request_quota',
        '_versions',
    )

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
        self._byte_rate = TokenBucket(bytes_per_s, 0)
        self._request_quota = TokenBucket(requests_per_s, _BURST_S)
        self._counters: dict[str, Any] = {
            'requests': 0,
            'refused': 0,
            'bytes_sent': 0,
            'bytes_by_version': {},
        }

    def manifest(self, message: GetManifest, reply: Reply) -> None:
        """Reply with the encoded manifest, which is computed once."""
        if message.version_name not in self._versions:
            reply.err(ErrorKind.VERSION_UNKNOWN, message.version_name)
            return
        if message.version_name not in self._manifests:
            manifest = manifest_of(self._versions[message.version_name])
            self._manifests[message.version_name] = encode_manifest(manifest)
        reply.ok(self._manifests[message.version_name])

    def chunk(self, message: GetChunk, reply: Reply) -> None:
        """Reply with a chunk; refuse it above the request rate limit."""
        self._counters['requests'] += 1
        weights = self._versions.get(message.version_name)
        if weights is None or not message.index < weights.chunk_count:
            reply.err(ErrorKind.VERSION_UNKNOWN, message.version_name)
            return
        if not self._request_quota.admit(gevent.get_hub().loop.now()):
            self._counters['refused'] += 1
            reply.err(ErrorKind.ORIGIN_BUSY, 'too many requests')
            return
        reply.ok(weights.chunk(message.index))

    def reserve_bytes(self, message: ReserveBytes, reply: Reply) -> None:
        """Count bytes and reply with the delay in seconds before them."""
        bytes_by_version = self._counters['bytes_by_version']
        bytes_by_version[message.version_name] = (
            bytes_by_version.get(message.version_name, 0) + message.size_bytes
        )
        self._counters['bytes_sent'] += message.size_bytes
        now_s = gevent.get_hub().loop.now()
        reply.ok(self._byte_rate.reserve(message.size_bytes, now_s))

    def report_counters(self, _message: GetCounters, reply: Reply) -> None:
        """Reply with the counters."""
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
    """Register the origin's services and return its routes.

    A rate of 0 means no limit.
    """
    routes = register_faults(kernel, _DEFAULT_SWITCHES)
    service = OriginService(versions, bytes_per_s, requests_per_s)
    kernel.register(
        ORIGIN,
        {
            GetManifest: service.manifest,
            GetChunk: service.chunk,
            ReserveBytes: service.reserve_bytes,
            GetCounters: service.report_counters,
        },
    )

    def counters_endpoint(_request: Request) -> Response:
        return Response.with_json(call_service(kernel, ORIGIN, GetCounters()))

    version_path = '/weights/([^/]+/[^/]+)'
    return [
        *routes,
        ('GET', f'{version_path}/manifest', _manifest_endpoint(kernel)),
        ('GET', f'{version_path}/chunks/([0-9]+)', _chunk_endpoint(kernel)),
        ('GET', '/counters', counters_endpoint),
    ]


def _manifest_endpoint(kernel: Kernel) -> Any:
    def manifest_endpoint(_request: Request, version_name: str) -> Response:
        fault_response = _fault_response(kernel)
        if fault_response is not None:
            return fault_response
        outcome = kernel.call(ORIGIN, GetManifest(version_name))
        if outcome.is_err():
            return Response.with_error(HTTPStatus.NOT_FOUND, version_name)
        headers = [('Content-Type', 'application/json')]
        return Response(HTTPStatus.OK, outcome.ok_value, headers)

    return manifest_endpoint


def _chunk_endpoint(kernel: Kernel) -> Any:
    def chunk_endpoint(
        _request: Request, version_name: str, index: str
    ) -> Response:
        fault_response = _fault_response(kernel)
        if fault_response is not None:
            return fault_response
        outcome = kernel.call(ORIGIN, GetChunk(version_name, int(index)))
        if outcome.is_err():
            failure = outcome.err_value
            is_busy = failure.kind is ErrorKind.ORIGIN_BUSY
            status = (
                HTTPStatus.TOO_MANY_REQUESTS
                if is_busy
                else HTTPStatus.NOT_FOUND
            )
            return Response.with_error(status, failure.detail)
        chunk = _corrupt_if_set(kernel, outcome.ok_value)
        headers = [('Content-Length', str(len(chunk)))]
        parts = _paced_parts(kernel, version_name, chunk)
        return Response(HTTPStatus.OK, headers=headers, body_parts=parts)

    return chunk_endpoint


def _fault_response(kernel: Kernel) -> Response | None:
    faults = current_faults(kernel)
    gevent.sleep(faults['delay_s'])
    if faults['down']:
        return Response.with_error(HTTPStatus.SERVICE_UNAVAILABLE, 'down')
    if faults['busy']:
        return Response.with_error(HTTPStatus.TOO_MANY_REQUESTS, 'busy')
    return None


def _corrupt_if_set(kernel: Kernel, chunk: bytes) -> bytes:
    remaining = current_faults(kernel)['corrupt_chunks']
    if not remaining:
        return chunk
    call_service(kernel, FAULTS, SetFaults({'corrupt_chunks': remaining - 1}))
    return bytes([chunk[0] ^ 1]) + chunk[1:]


def _paced_parts(
    kernel: Kernel, version_name: str, chunk: bytes
) -> Iterator[bytes]:
    for start in range(0, len(chunk), _PART_BYTES):
        part = chunk[start : start + _PART_BYTES]
        gevent.sleep(
            call_service(kernel, ORIGIN, ReserveBytes(version_name, len(part)))
        )
        yield part
