"""HTTP pages of the admin listener."""

import json
import types
from collections.abc import Callable, Iterable
from typing import Any, Final

from apricotpin.components.admin.const import (
    CONTENT_TYPE_JSON,
    CONTENT_TYPE_METRICS,
    STATUS_TIMEOUT_S,
)
from apricotpin.const import SERVICE_ADMIN, SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.messages.admin import GetProcessStatus, GetServiceStatus
from apricotpin.messages.metrics import RenderMetrics

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class PageResponse:
    """Hold the status and body of an HTTP response."""

    __slots__ = ('body', 'content_type', 'status')

    def __init__(self, status: str, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body

    @classmethod
    def with_json(cls, status: str, document: Any) -> 'PageResponse':
        """Build a response with a JSON document."""
        return cls(status, CONTENT_TYPE_JSON, json.dumps(document).encode())


def make_application(
    kernel: Kernel,
) -> Callable[[dict[str, Any], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the admin listener."""

    def application(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        page = _PAGES.get(environ['PATH_INFO'], _not_found)
        content = page(kernel)
        headers = [
            ('Content-Type', content.content_type),
            ('Content-Length', str(len(content.body))),
        ]
        start_response(content.status, headers)
        return [content.body]

    return application


def _health(kernel: Kernel) -> PageResponse:
    outcome = kernel.call(SERVICE_ADMIN, GetProcessStatus(), STATUS_TIMEOUT_S)
    if outcome.is_err():
        detail = {'ready': False, 'error': str(outcome.err_value)}
        return PageResponse.with_json('503 Service Unavailable', detail)
    fields = outcome.ok_value.fields
    status = '200 OK' if fields['ready'] else '503 Service Unavailable'
    return PageResponse.with_json(status, fields)


def _metrics(kernel: Kernel) -> PageResponse:
    rendered = kernel.call(SERVICE_METRICS, RenderMetrics(), STATUS_TIMEOUT_S)
    if rendered.is_err():
        return PageResponse.with_json('503 Service Unavailable', {})
    return PageResponse('200 OK', CONTENT_TYPE_METRICS, rendered.ok_value)


def _status(kernel: Kernel) -> PageResponse:
    names = kernel.services_handling(GetServiceStatus)
    statuses = {}
    for name in names:
        outcome = kernel.call(name, GetServiceStatus(), STATUS_TIMEOUT_S)
        if outcome.is_ok():
            statuses[name] = outcome.ok_value.fields
    return PageResponse.with_json('200 OK', statuses)


def _not_found(_kernel: Kernel) -> PageResponse:
    return PageResponse.with_json('404 Not Found', {'error': 'no such page'})


_PAGES: Final = types.MappingProxyType(
    {
        '/healthz': _health,
        '/metrics': _metrics,
        '/status': _status,
    }
)
