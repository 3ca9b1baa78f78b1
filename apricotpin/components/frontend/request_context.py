"""State of a request that is shared by all its attempts."""

import json
from typing import Any, Final

from apricotpin.components.frontend.callers import CallerRequest, Headers
from apricotpin.components.frontend.const import HEADER_REQUEST_ID
from apricotpin.components.frontend.decision_types import Progress
from apricotpin.components.frontend.decisions import (
    find_rule,
    is_idempotent,
    make_attempt_id,
)
from apricotpin.const import KIND_MODEL
from apricotpin.core import Kernel
from apricotpin.messages.document import Rule
from apricotpin.messages.routing import Admitted

# Headers that are valid for one connection only (RFC 9110, section 7.6.1), and
# headers that the frontend sets itself.
_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-priority',
        'x-request-id',
    ),
)
_RESUME_FIELD: Final = 'resume_from'


class RequestContext:
    """Track one request while it is forwarded; used by its greenlet only.

    position counts the tokens that the caller has received. version is the
    model version that responses must come from, empty for any version.
    """

    __slots__ = (
        '_document',
        'admitted',
        'body',
        'caller',
        'kernel',
        'position',
        'progress',
        'ticket',
        'tried',
        'version',
    )

    def __init__(
        self,
        kernel: Kernel,
        caller: CallerRequest,
        ticket: str,
        admitted: Admitted,
        deadline_s: float,
    ) -> None:
        self.kernel = kernel
        self.caller = caller
        self.ticket = ticket
        self.admitted = admitted
        self.version = caller.version
        self.tried: list[str] = []
        self.body = b''
        self.position = 0
        self._document: dict[str, Any] = {}
        idempotent = is_idempotent(self.rule, caller.method)
        self.progress = Progress(idempotent, False, deadline_s)

    @property
    def rule(self) -> Rule | None:
        """Return the service's rule for this request, if any."""
        rules = self.admitted.service.rules
        return find_rule(rules, self.caller.method, self.caller.path)

    @property
    def is_model(self) -> bool:
        """Return whether a model engine serves this request."""
        return self.admitted.service.kind == KIND_MODEL

    def set_body(self, body: bytes) -> None:
        """Set the body, the stream position and whether it may be resumed."""
        self.body = body
        if self.is_model and self.progress.is_idempotent:
            self._document = _parse_object(body)
        position = self._document.get(_RESUME_FIELD)
        self.position = position if isinstance(position, int) else 0
        self.progress.is_resumable = self._document.get('stream') is True

    def next_attempt_id(self) -> str:
        """Return the request id of the next attempt."""
        number = self.progress.attempt_count + 1
        return make_attempt_id(self.caller.request_id, self.ticket, number)

    def encode(self, address: str, attempt_id: str) -> bytes:
        """Return the encoded request for the upstream at this address."""
        body = self._body_from_position()
        headers = [
            ('Host', address),
            (HEADER_REQUEST_ID, attempt_id),
            ('X-Priority', str(self.admitted.priority)),
            *remove_hop_headers(self.caller.all_headers()),
        ]
        if body or self.caller.method not in {'GET', 'HEAD', 'OPTIONS'}:
            headers.append(('Content-Length', str(len(body))))
        lines = [f'{self.caller.method} {self.caller.target()} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        return '\r\n'.join([*lines, '', '']).encode('latin-1') + body

    def _body_from_position(self) -> bytes:
        if not self.progress.has_delivered:
            return self.body
        document = {**self._document, _RESUME_FIELD: self.position}
        return json.dumps(document).encode()


def remove_hop_headers(headers: Headers) -> Headers:
    """Return the headers without those that are not passed on."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_HEADERS
    ]


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}
