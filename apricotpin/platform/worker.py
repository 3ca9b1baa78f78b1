"""The engine service: reads a worker's reports, sends pieces and orders."""

import json
import types
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from result import Result

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import refuses_connections
from apricotpin.helpers.http import HttpResponse
from apricotpin.messages.pieces import (
    LoadVersion,
    OrderEffect,
    ReadStagedPiece,
    IsWorkerListening,
    ReadWorkerReport,
    StagePiece,
    WorkerReport,
)
from apricotpin.platform import names
from apricotpin.platform.call_codec import states_leaving
from apricotpin.platform.http_client import PlatformHttpClient, decode_expected
from apricotpin.platform.worker_documents import decode_loaded_layers

_CONNECTIONS: Final = 4
_EFFECTS: Final = types.MappingProxyType(
    {200: OrderEffect.IN_EFFECT, 202: OrderEffect.BEGUN}
)
_STATUSES_STAGED: Final = (200, 201, 202, 204)
_STATUS_MISSING: Final = 404
_STATUSES_STAGED_OR_MISSING: Final = (200, _STATUS_MISSING)


class WorkerService:
    """Own the connections to the worker beside this process."""

    __slots__ = ('_address', '_client', '_kernel', '_report_client')

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._address = address
        self._kernel = kernel
        self._client = PlatformHttpClient(
            address,
            _CONNECTIONS,
            ErrorKind.ENGINE_UNAVAILABLE,
        )
        # Reports have a separate connection, so that transfers of pieces do
        # not delay them.
        self._report_client = PlatformHttpClient(
            address, 1, ErrorKind.ENGINE_UNAVAILABLE
        )

    def read_report(self, _message: ReadWorkerReport, reply: Reply) -> None:
        """Read the worker's report."""
        self._kernel.spawn(
            lambda: reply.forward(_read_report(self._report_client))
        )

    def is_listening(self, _message: IsWorkerListening, reply: Reply) -> None:
        """Reply whether the worker's address does not refuse connections."""
        self._kernel.spawn(
            lambda: reply.ok(not refuses_connections(self._address))
        )

    def handle_piece_or_order(self, message: Any, reply: Reply) -> None:
        """Stage or read a piece, or order the worker to load a version."""
        action = _ACTIONS[type(message)]
        self._kernel.spawn(
            lambda: reply.forward(action(self._client, message)),
        )


def _read_report(client: PlatformHttpClient) -> Result[WorkerReport, Failure]:
    return decode_expected(
        client.call('GET', names.PATH_REPORT),
        _decode_report,
        ErrorKind.ENGINE_UNAVAILABLE,
    )


def _decode_report(response: HttpResponse) -> WorkerReport:
    fields = response.document()
    return WorkerReport(
        active=int(fields['active']),
        queued=int(fields['queued']),
        has_order_in_progress=bool(fields['busy']),
        started_ms=int(fields.get('born', 0)),
        loaded=decode_loaded_layers(fields) or (),
        is_leaving=states_leaving(response.headers),
        accepted_orders=int(fields.get('sequence', 0)),
    )


def _stage_piece(
    client: PlatformHttpClient,
    message: StagePiece,
) -> Result[None, Failure]:
    path = names.PATH_STAGE_PUT.format(
        model=message.model,
        index=message.index,
    )
    return _decode_write(
        client.call('PUT', path, message.content, send_by_s=message.send_by_s),
        lambda _response: None,
        _STATUSES_STAGED,
    )


def _read_staged(
    client: PlatformHttpClient,
    message: ReadStagedPiece,
) -> Result[bytes | None, Failure]:
    path = names.PATH_STAGE_GET.format(
        model=message.model,
        index=message.index,
    )
    return decode_expected(
        client.call('GET', path),
        _decode_staged,
        ErrorKind.ENGINE_UNAVAILABLE,
        _STATUSES_STAGED_OR_MISSING,
    )


def _decode_staged(response: HttpResponse) -> bytes | None:
    return None if response.status == _STATUS_MISSING else response.body


def _load_version(
    client: PlatformHttpClient,
    message: LoadVersion,
) -> Result[int, Failure]:
    order = {
        'operation': names.OPERATION_START,
        'model': message.model,
        'version': message.version,
        'mode': names.MODE_TRUNCATE
        if message.may_truncate
        else names.MODE_QUEUE,
        # source is the first layer, and to the one after the last.
        'source': message.part.start,
        'to': message.part.end,
        'precondition': message.expected_orders,
    }
    return _decode_write(
        client.call(
            'POST',
            names.PATH_ORDER,
            json.dumps(order).encode(),
            'application/json',
            message.send_by_s,
        ),
        lambda response: _EFFECTS[response.status],
        tuple(_EFFECTS),
    )


def _decode_write(
    outcome: Result[HttpResponse, Failure],
    decode: Callable[[HttpResponse], Any],
    statuses: tuple[int, ...],
) -> Result[Any, Failure]:
    """Decode the response to a write; only statuses below 500 refuse it."""
    status = outcome.map(lambda response: response.status).unwrap_or(0)
    kind = ErrorKind.ENGINE_REFUSED
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        kind = ErrorKind.ENGINE_OUTCOME_UNKNOWN
    return decode_expected(outcome, decode, kind, statuses)


_ACTIONS: Final = types.MappingProxyType(
    {
        StagePiece: _stage_piece,
        ReadStagedPiece: _read_staged,
        LoadVersion: _load_version,
    }
)
