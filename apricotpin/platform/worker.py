"""The engine service: reports of, pieces for and orders to the worker."""

import json
import types
from typing import Any, Final

from result import Result

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpResponse
from apricotpin.messages.pieces import (
    LoadVersion,
    ReadStagedPiece,
    ReadWorkerReport,
    StagePiece,
    WorkerReport,
)
from apricotpin.platform import names
from apricotpin.platform.calls import HttpCaller, expect
from apricotpin.platform.worker_documents import loaded_layers

_CONNECTIONS: Final = 4
_STATUS_ACCEPTED: Final = (200, 202)
_STATUS_MISSING: Final = 404
_STATUS_ANY_FOUND: Final = (200, _STATUS_MISSING)


class WorkerService:
    """Own the connections to the worker beside this process."""

    __slots__ = ('_caller', '_kernel', '_reports')

    def __init__(self, kernel: Kernel, address: str) -> None:
        self._kernel = kernel
        self._caller = HttpCaller(
            address,
            _CONNECTIONS,
            ErrorKind.ENGINE_UNAVAILABLE,
        )
        # Reports have a connection of their own, so that pieces in
        # transfer do not delay them.
        self._reports = HttpCaller(address, 1, ErrorKind.ENGINE_UNAVAILABLE)

    def report(self, _message: ReadWorkerReport, reply: Reply) -> None:
        """Read the worker's report."""
        self._kernel.spawn(lambda: reply.forward(_report(self._reports)))

    def use(self, message: Any, reply: Reply) -> None:
        """Stage or read a piece, or give an order."""
        action = _ACTIONS[type(message)]
        self._kernel.spawn(
            lambda: reply.forward(action(self._caller, message)),
        )


def _report(caller: HttpCaller) -> Result[WorkerReport, Failure]:
    return expect(
        caller.call('GET', names.PATH_REPORT),
        _decode_report,
        ErrorKind.ENGINE_UNAVAILABLE,
    )


def _decode_report(answer: HttpResponse) -> WorkerReport:
    fields = answer.document()
    return WorkerReport(
        active=int(fields['active']),
        queued=int(fields['queued']),
        has_order_in_progress=bool(fields['busy']),
        started_ms=int(fields.get('born', 0)),
        loaded=loaded_layers(fields) or (),
    )


def _stage_piece(
    caller: HttpCaller,
    message: StagePiece,
) -> Result[None, Failure]:
    path = names.PATH_STAGE_PUT.format(
        model=message.model,
        index=message.index,
    )
    return expect(
        caller.call('PUT', path, message.content),
        lambda _answer: None,
        ErrorKind.ENGINE_REFUSED,
        (200, 201, 202, 204),
    )


def _read_staged(
    caller: HttpCaller,
    message: ReadStagedPiece,
) -> Result[bytes | None, Failure]:
    path = names.PATH_STAGE_GET.format(
        model=message.model,
        index=message.index,
    )
    return expect(
        caller.call('GET', path),
        _decode_staged,
        ErrorKind.ENGINE_UNAVAILABLE,
        _STATUS_ANY_FOUND,
    )


def _decode_staged(answer: HttpResponse) -> bytes | None:
    return None if answer.status == _STATUS_MISSING else answer.body


def _start_version(
    caller: HttpCaller,
    message: LoadVersion,
) -> Result[int, Failure]:
    order = {
        'operation': names.OPERATION_START,
        'model': message.model,
        'version': message.version,
        'mode': names.MODE_TRUNCATE
        if message.may_truncate
        else names.MODE_QUEUE,
        # source is the first layer, to the one after the last.
        'source': message.start,
        'to': message.end,
    }
    return expect(
        caller.call(
            'POST',
            names.PATH_ORDER,
            json.dumps(order).encode(),
            'application/json',
        ),
        lambda answer: answer.status,
        ErrorKind.ENGINE_REFUSED,
        _STATUS_ACCEPTED,
    )


_ACTIONS: Final = types.MappingProxyType(
    {
        StagePiece: _stage_piece,
        ReadStagedPiece: _read_staged,
        LoadVersion: _start_version,
    }
)
