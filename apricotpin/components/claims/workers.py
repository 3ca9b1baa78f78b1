"""Worker greenlets of the claims service; each owns its socket."""

from collections.abc import Sequence
from typing import Any, Final

import gevent
from loguru import logger
from result import Result

from apricotpin.components.claims import events
from apricotpin.components.claims.internal import (
    Answered,
    Forwarded,
    LogReplied,
    TryAgain,
)
from apricotpin.components.claims.records import Ended, Record, decode, encode
from apricotpin.const import SERVICE_CLAIMS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.log_client import LogClient, LogPage
from apricotpin.helpers.metrics import count
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages import verdicts
from apricotpin.messages.claims import (
    ClaimAnswer,
)

# A partition waits for its reply, so a full mailbox delays it only.
_DELIVERY_TRIES: Final = 600
_DELIVERY_PAUSE_S: Final = 0.1


class LogTask:
    """Name the partition that waits for a reply of the log."""

    __slots__ = ('kernel', 'log', 'serial', 'stream')

    def __init__(
        self,
        kernel: Kernel,
        log: LogClient,
        stream: str,
        serial: int,
    ) -> None:
        self.kernel = kernel
        self.log = log
        self.stream = stream
        self.serial = serial

    def report(self, event: events.Event) -> None:
        """Send the event to the service."""
        deliver(self.kernel, LogReplied(self.stream, self.serial, event))


class PeerCall:
    """Describe a request to the owner of a partition."""

    __slots__ = ('address', 'ask_id', 'message', 'method', 'timeout_s')

    def __init__(
        self,
        ask_id: int,
        address: str,
        method: str,
        message: Any,
        timeout_s: float,
    ) -> None:
        self.ask_id = ask_id
        self.address = address
        self.method = method
        self.message = message
        self.timeout_s = timeout_s


def deliver(kernel: Kernel, message: Any) -> None:
    """Send a message to the service, waiting while its mailbox is full."""
    tries = 0
    while kernel.send(SERVICE_CLAIMS, message).is_err():
        tries += 1
        if tries == _DELIVERY_TRIES:
            logger.bind(message_type=type(message).__name__).error(
                'claims_message_dropped',
            )
            return
        gevent.sleep(_DELIVERY_PAUSE_S)


def append_batch(task: LogTask, records: Sequence[Record]) -> None:
    """Append records and report their offset."""
    encoded = [encode(record) for record in records]
    count(task.kernel, 'claim_records_total', amount=len(encoded))
    appended = task.log.append(task.stream, encoded)
    count(
        task.kernel,
        'log_appends_total',
        'stored' if appended.is_ok() else 'failed',
    )
    if appended.is_ok():
        task.report(events.Appended(appended.ok_value))
        return
    _log_failure('claims_append_failed', task.stream, appended.err_value)
    task.report(events.AppendLost())


def read_stream(task: LogTask, from_offset: int) -> None:
    """Read a page and report it."""
    count(task.kernel, 'log_reads_total')
    page = task.log.read(task.stream, from_offset)
    if page.is_ok():
        task.report(events.PageRead(page.ok_value))
        return
    _log_failure('claims_read_failed', task.stream, page.err_value)
    task.report(events.ReadFailed())


def pause(task: LogTask, pause_s: float) -> None:
    """Wake the partition after a time."""
    gevent.sleep(pause_s)
    task.report(events.Woken())


def replay(task: LogTask, ask_id: int, offset: int) -> None:
    """Read a stored outcome and answer with it."""
    count(task.kernel, 'log_reads_total')
    answer = _replayed(task.log.read(task.stream, offset, limit=1), offset)
    deliver(task.kernel, Answered(ask_id, answer))


def forward(
    kernel: Kernel,
    client: PeerClient,
    peer_call: PeerCall,
) -> None:
    """Ask the owner and hand the client back with the answer."""
    answered = client.call(
        peer_call.address,
        peer_call.method,
        peer_call.message,
        peer_call.timeout_s,
    )
    deliver(kernel, Forwarded(peer_call.ask_id, answered, client))


def try_later(kernel: Kernel, ask_id: int, pause_s: float) -> None:
    """Have a request sent again after a time."""
    gevent.sleep(pause_s)
    deliver(kernel, TryAgain(ask_id))


def _replayed(
    page: Result[LogPage, Failure],
    offset: int,
) -> ClaimAnswer:
    records = page.ok_value.records if page.is_ok() else []
    stored = [
        decode(entry.value) for entry in records[:1] if entry.offset == offset
    ]
    if not stored or not isinstance(stored[0], Ended):
        return ClaimAnswer(
            verdicts.UNAVAILABLE,
            detail='the stored outcome could not be read',
        )
    detail = verdicts.DETAIL_BODY_OMITTED if stored[0].body_omitted else ''
    return ClaimAnswer(verdicts.DONE, stored[0].outcome, detail)


def _log_failure(event: str, stream: str, failure: Failure) -> None:
    logger.bind(stream=stream, failure=repr(failure)).warning(event)
