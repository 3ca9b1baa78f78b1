"""Tasks that fetch pieces and control the worker beside this process."""

import random
import types
from collections.abc import Callable, Iterable
from typing import Final

import gevent
from gevent.pool import Pool
from loguru import logger
from result import Result

from apricotpin.components.installer import const, open_calls
from apricotpin.components.installer.decisions import (
    LoadStep,
    is_source_waiting,
)
from apricotpin.components.installer.events import (
    FetchJob,
    GetNextFetchJob,
    GetNextLoadJob,
    LoadJob,
    LoadJobDone,
    PieceFetched,
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
from apricotpin.helpers import clocks
from apricotpin.helpers.backoff import jittered_backoff
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
    IsWorkerListening,
    LoadVersion,
    ReadStagedPiece,
    ReadWorkerReport,
    StagePiece,
)
from apricotpin.messages.weights import FetchChunk


_CORRUPT_BACKOFF_S: Final = jittered_backoff(
    const.CORRUPT_RETRY_FIRST_S, const.CORRUPT_RETRY_MAX_S, random.random
)


def poll_reports(kernel: Kernel) -> None:
    """Read the worker's report at a fixed interval.

    A worker that does not listen before the first read starts later than this
    agent; clocks would not show that, as they may be set back.
    """
    is_listening = kernel.call(
        SERVICE_ENGINE, IsWorkerListening(), const.REPORT_TIMEOUT_S
    )
    was_absent = not is_listening.unwrap_or(True)
    while True:
        report = kernel.call(
            SERVICE_ENGINE,
            ReadWorkerReport(),
            const.REPORT_TIMEOUT_S,
        )
        kernel.send(SERVICE_INSTALLER, ReportRead(report, was_absent))
        was_absent = False
        gevent.sleep(const.REPORT_INTERVAL_S)


def fetch_pieces(kernel: Kernel) -> None:
    """Run the fetch jobs of the installer."""
    client = PeerClient()
    while True:
        reply = kernel.call(SERVICE_INSTALLER, GetNextFetchJob(), None)
        if reply.is_err():
            continue
        job: FetchJob = reply.ok_value
        address = job.addresses[0]
        content = _fetch(client, job, address)
        corrupt_in_row = kernel.call(
            SERVICE_INSTALLER,
            PieceFetched(job, address, content),
        ).unwrap_or(0)
        if corrupt_in_row:
            gevent.sleep(_CORRUPT_BACKOFF_S(corrupt_in_row))
        if content.is_err() and not is_source_waiting(content.err_value):
            gevent.sleep(const.RETRY_DELAY_S)


def run_load_jobs(kernel: Kernel) -> None:
    """Run the load jobs of the installer."""
    while True:
        reply = kernel.call(SERVICE_INSTALLER, GetNextLoadJob(), None)
        if reply.is_err():
            continue
        job: LoadJob = reply.ok_value
        outcome = _STEPS[job.step](kernel, job)
        kernel.call(SERVICE_INSTALLER, outcome)
        if not outcome.succeeded:
            gevent.sleep(const.RETRY_DELAY_S)


def find_entry_hosts(
    kernel: Kernel, own_load_report: Callable[[], LoadReport]
) -> None:
    """Send load reports to the stored entry hosts while none is known.

    An entry host is known while its hellos arrive.
    """
    while True:
        counted = kernel.call(SERVICE_PRESENCE, CountKnownEntryHosts())
        if not counted.unwrap_or(0):
            hosts = _read_entry_hosts(kernel)
            request = ReportToEntryHosts(hosts, own_load_report())
            kernel.send(SERVICE_PRESENCE, request)
        gevent.sleep(const.FIND_ENTRY_HOSTS_INTERVAL_S)


def _read_entry_hosts(kernel: Kernel) -> tuple[EntryHost, ...]:
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
    job: FetchJob,
    address: str,
) -> Result[bytes, Failure]:
    install = job.install
    request = FetchChunk(
        install.model,
        str(install.version),
        job.index,
        job.wait_ms,
        doubted_digest=job.doubted_digest,
    )
    return fetch_piece(client, address, request, const.FETCH_TIMEOUT_S)


def _scan(kernel: Kernel, job: LoadJob) -> LoadJobDone:
    """Return the staged pieces that match the version's manifest."""
    return _read_staged(kernel, job, range(len(job.digests)))


def _read_staged(
    kernel: Kernel, job: LoadJob, indexes: Iterable[int]
) -> LoadJobDone:
    """Return the staged pieces, of those given, that match the manifest."""

    def read_piece(index: int) -> Result[bytes | None, Failure]:
        return kernel.call(
            SERVICE_ENGINE,
            ReadStagedPiece(job.install.model, index),
            const.CALL_TIMEOUT_S,
        )

    found = {}
    found_staged = False
    pool = Pool(const.PARALLEL_READS)
    for index, read in zip(indexes, pool.imap(read_piece, indexes)):
        if read.is_err():
            pool.kill()
            return LoadJobDone(job, False, {})
        found_staged = found_staged or read.ok_value is not None
        if matches_sha256(read.ok_value, job.digests[index]):
            found[index] = read.ok_value
    done = LoadJobDone(job, True, found)
    done.found_staged = found_staged
    return done


def _stage(kernel: Kernel, job: LoadJob) -> LoadJobDone:
    """Copy verified pieces to the worker."""
    staged: dict[int, bytes] = {}
    done = LoadJobDone(job, False, staged)
    done.has_copied = True
    for index, content in job.pieces.items():
        written = kernel.call(
            SERVICE_ENGINE,
            StagePiece(
                job.install.model,
                index,
                content,
                clocks.boot_time_s() + const.CALL_TIMEOUT_S,
            ),
            const.CALL_TIMEOUT_S,
        )
        if written.is_err():
            is_unknown = open_calls.is_outcome_unknown(written.err_value)
            event = (
                'piece_copy_unanswered' if is_unknown else 'piece_not_staged'
            )
            logger.bind(
                model=job.install.model,
                version=job.install.version,
                index=index,
                error=repr(written.err_value),
            ).warning(event)
            done.unanswered = (index,) if is_unknown else ()
            return done
        staged[index] = content
    done.succeeded = True
    return done


def _check(kernel: Kernel, job: LoadJob) -> LoadJobDone:
    """Check the staged pieces and replace corrupt ones.

    Staged pieces may become corrupt, and the worker does not check them.
    """
    scanned = _read_staged(kernel, job, job.pieces)
    corrupt = {
        index: content
        for index, content in job.pieces.items()
        if index not in scanned.pieces
    }
    if not scanned.succeeded:
        return scanned
    if corrupt:
        logger.bind(pieces=len(corrupt)).warning('staged_pieces_bad')
        repair = LoadJob(LoadStep.STAGE, job.install, job.part, corrupt)
        done = LoadJobDone(job, False, {})
        done.has_copied = True
        done.unanswered = _stage(kernel, repair).unanswered
        return done
    return LoadJobDone(job, True, {})


def _verify(kernel: Kernel, job: LoadJob) -> LoadJobDone:
    """Read the staged pieces that loaded layers may consist of."""
    return _read_staged(kernel, job, job.pieces)


def _start(kernel: Kernel, job: LoadJob) -> LoadJobDone:
    """Order the worker to load the checked pieces."""
    install = job.install
    started = kernel.call(
        SERVICE_ENGINE,
        LoadVersion(
            install.model,
            install.version,
            job.part,
            job.send_by_s,
            job.order.expected_orders,
            install.may_truncate,
        ),
        const.CALL_TIMEOUT_S,
    )
    bound = logger.bind(
        model=install.model,
        version=install.version,
        layers=f'{job.part.start}-{job.part.end}',
        turn=install.turn,
        accepted_orders=job.order.expected_orders,
    )
    if started.is_err():
        event = 'order_refused'
        if open_calls.is_outcome_unknown(started.err_value):
            event = 'order_unanswered'
        bound.bind(error=repr(started.err_value)).warning(event)
    else:
        bound.bind(effect=started.ok_value.value).info('order_given')
    done = LoadJobDone(job, started.is_ok(), {})
    done.order_reply = started
    return done


_STEPS: Final = types.MappingProxyType(
    {
        LoadStep.SCAN: _scan,
        LoadStep.STAGE: _stage,
        LoadStep.CHECK: _check,
        LoadStep.START: _start,
        LoadStep.VERIFY: _verify,
    }
)
