"""Greenlets that fetch pieces and use the worker beside this process."""

import types
from collections.abc import Callable
from typing import Final

import gevent
from loguru import logger
from result import Result

from apricotpin.components.installer import const
from apricotpin.components.installer.decisions import Load, is_not_yet
from apricotpin.components.installer.events import (
    LoadDone,
    LoadOrder,
    NextLoad,
    NextPiece,
    PieceFetched,
    PieceOrder,
    ReportRead,
)
from apricotpin.const import (
    SERVICE_ENGINE,
    SERVICE_INSTALLER,
    SERVICE_PRESENCE,
    SERVICE_STORE,
)
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.hashing import matches_sha256
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.helpers.pieces import fetch_piece
from apricotpin.messages.feeds import EntryHost, Feed, ReadSnapshot
from apricotpin.messages.fleet import (
    CountKnownEntryHosts,
    LoadReport,
    ReportToEntryHosts,
)
from apricotpin.messages.pieces import (
    LoadVersion,
    ReadStagedPiece,
    ReadWorkerReport,
    StagePiece,
)
from apricotpin.messages.weights import FetchChunk


def read_reports(kernel: Kernel) -> None:
    """Read the worker's report again and again."""
    while True:
        report = kernel.call(
            SERVICE_ENGINE,
            ReadWorkerReport(),
            const.REPORT_TIMEOUT_S,
        )
        kernel.send(SERVICE_INSTALLER, ReportRead(report))
        gevent.sleep(const.REPORT_PERIOD_S)


def fetch_pieces(kernel: Kernel) -> None:
    """Fetch the pieces that the installer asks for."""
    client = PeerClient()
    while True:
        asked = kernel.call(SERVICE_INSTALLER, NextPiece(), const.IDLE_S)
        if asked.is_err():
            continue
        order: PieceOrder = asked.ok_value
        address = order.addresses[0]
        content = _fetch(client, order, address)
        kernel.call(
            SERVICE_INSTALLER,
            PieceFetched(order, address, content),
        )
        if content.is_err() and not is_not_yet(content.err_value):
            gevent.sleep(const.RETRY_S)


def load_versions(kernel: Kernel) -> None:
    """Take the steps at the worker that the installer asks for."""
    while True:
        asked = kernel.call(SERVICE_INSTALLER, NextLoad(), const.IDLE_S)
        if asked.is_err():
            continue
        order: LoadOrder = asked.ok_value
        done = _ACTIONS[order.action](kernel, order)
        kernel.call(SERVICE_INSTALLER, done)
        if not done.done:
            gevent.sleep(const.RETRY_S)


def find_entries(kernel: Kernel, own_report: Callable[[], LoadReport]) -> None:
    """Report to recorded entry hosts until one of them greets."""
    while True:
        counted = kernel.call(SERVICE_PRESENCE, CountKnownEntryHosts())
        if not counted.unwrap_or(0):
            hosts = _read_entries(kernel)
            found = ReportToEntryHosts(hosts, own_report())
            kernel.send(SERVICE_PRESENCE, found)
        gevent.sleep(const.FIND_ENTRIES_S)


def _read_entries(kernel: Kernel) -> tuple[EntryHost, ...]:
    read = kernel.call(
        SERVICE_STORE,
        ReadSnapshot(Feed.HOSTS),
        const.STORE_TIMEOUT_S,
    )
    if read.is_err():
        logger.bind(error=repr(read.err_value)).warning('store_unavailable')
        return ()
    found = [entry.decoded for entry in read.ok_value.entries]
    return tuple(host for host in found if isinstance(host, EntryHost))


def _fetch(
    client: PeerClient,
    order: PieceOrder,
    address: str,
) -> Result[bytes, Failure]:
    install = order.install
    wanted = FetchChunk(
        install.model,
        str(install.version),
        order.index,
        order.wait_ms,
    )
    return fetch_piece(client, address, wanted, const.FETCH_TIMEOUT_S)


def _scan(kernel: Kernel, order: LoadOrder) -> LoadDone:
    """Keep the staged pieces that the version's manifest names."""
    found = {}
    for index, digest in enumerate(order.digests):
        read = kernel.call(
            SERVICE_ENGINE,
            ReadStagedPiece(order.install.model, index),
            const.CALL_TIMEOUT_S,
        )
        if read.is_err():
            return LoadDone(order, False, {})
        if matches_sha256(read.ok_value, digest):
            found[index] = read.ok_value
    return LoadDone(order, True, found)


def _stage(kernel: Kernel, order: LoadOrder) -> LoadDone:
    """Hand checked pieces to the worker."""
    staged = {}
    for index, content in order.pieces.items():
        written = kernel.call(
            SERVICE_ENGINE,
            StagePiece(order.install.model, index, content),
            const.CALL_TIMEOUT_S,
        )
        if written.is_err():
            logger.bind(
                index=index,
                error=repr(written.err_value),
            ).warning('piece_not_staged')
            return LoadDone(order, False, staged)
        staged[index] = content
    return LoadDone(order, True, staged)


def _check(kernel: Kernel, order: LoadOrder) -> LoadDone:
    """Check what is staged and mend it.

    Staged pieces may turn bad, and the worker checks nothing itself.
    """
    scanned = _scan(kernel, order)
    bad = {
        index: content
        for index, content in order.pieces.items()
        if index not in scanned.pieces
    }
    if not scanned.done:
        return scanned
    if bad:
        logger.bind(pieces=len(bad)).warning('staged_pieces_bad')
        _stage(kernel, LoadOrder(Load.STAGE, order.install, bad))
        return LoadDone(order, False, {})
    return LoadDone(order, True, {})


def _start(kernel: Kernel, order: LoadOrder) -> LoadDone:
    """Order the worker to load what was checked."""
    install = order.install
    started = kernel.call(
        SERVICE_ENGINE,
        LoadVersion(
            install.model,
            install.version,
            0,
            install.stock.layers,
            install.may_cut,
        ),
        const.CALL_TIMEOUT_S,
    )
    bound = logger.bind(
        model=install.model,
        version=install.version,
        turn=install.turn,
    )
    if started.is_err():
        bound.bind(error=repr(started.err_value)).warning('order_refused')
        return LoadDone(order, False, {})
    bound.info('order_given')
    return LoadDone(order, True, {})


_ACTIONS: Final = types.MappingProxyType(
    {
        Load.SCAN: _scan,
        Load.STAGE: _stage,
        Load.CHECK: _check,
        Load.START: _start,
    }
)
