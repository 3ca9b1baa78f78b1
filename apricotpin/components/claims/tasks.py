"""Tasks of the claims service.

Each owns its socket, runs one log request, peer call or pause, and reports the
result to the service by a message.
"""

from collections.abc import Sequence
from typing import Any, Final

import gevent
from loguru import logger
from result import Result

from apricotpin.components.claims import events
from apricotpin.components.claims.internal_messages import (
    ForwardDone,
    LogTaskDone,
    OwnerReplied,
    RetryRequest,
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

# The partition or request waits for this message, so a full mailbox only
# delays it. The message is dropped after 600 tries, 0.1 s apart.
_DELIVERY_TRIES_MAX: Final = 600
_DELIVERY_RETRY_S: Final = 0.1


class LogTask:
    """Identify the partition that a worker reports to."""

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

    def send_event(self, event: events.Event) -> None:
        """Send an event of the partition to the service."""
        send_to_service(
            self.kernel, LogTaskDone(self.stream, self.serial, event)
        )


class PeerCall:
    """Describe a peer call to the owner of a partition."""

    __slots__ = ('address', 'message', 'method', 'request_id', 'timeout_s')

    def __init__(
        self,
        request_id: int,
        address: str,
        method: str,
        message: Any,
        timeout_s: float,
    ) -> None:
        self.request_id = request_id
        self.address = address
        self.method = method
        self.message = message
        self.timeout_s = timeout_s


def send_to_service(kernel: Kernel, message: Any) -> None:
    """Send a message to the service; wait while its mailbox is full."""
    tries = 0
    while kernel.send(SERVICE_CLAIMS, message).is_err():
        tries += 1
        if tries == _DELIVERY_TRIES_MAX:
            logger.bind(message_type=type(message).__name__).error(
                'claims_message_dropped',
            )
            return
        gevent.sleep(_DELIVERY_RETRY_S)


def append_batch(task: LogTask, records: Sequence[Record]) -> None:
    """Append records to the log and report the offset of the first."""
    encoded = [encode(record) for record in records]
    count(task.kernel, 'claim_records_total', amount=len(encoded))
    appended = task.log.append(task.stream, encoded)
    count(
        task.kernel,
        'log_appends_total',
        'stored' if appended.is_ok() else 'failed',
    )
    if appended.is_ok():
        task.send_event(events.Appended(appended.ok_value))
        return
    _log_failure('claims_append_failed', task.stream, appended.err_value)
    task.send_event(events.AppendUnconfirmed())


def read_stream(task: LogTask, from_offset: int) -> None:
    """Read a page of the stream and report it."""
    count(task.kernel, 'log_reads_total')
    page = task.log.read(task.stream, from_offset)
    if page.is_ok():
        task.send_event(events.PageRead(page.ok_value))
        return
    _log_failure('claims_read_failed', task.stream, page.err_value)
    task.send_event(events.ReadFailed())


def pause(task: LogTask, pause_s: float) -> None:
    """Report the end of a pause after pause_s."""
    gevent.sleep(pause_s)
    task.send_event(events.PauseEnded())


def read_stored_outcome(task: LogTask, request_id: int, offset: int) -> None:
    """Read the outcome at an offset of the log and reply with it."""
    count(task.kernel, 'log_reads_total')
    owner_reply = _claim_answer_from(
        task.log.read(task.stream, offset, limit=1), offset
    )
    send_to_service(task.kernel, OwnerReplied(request_id, owner_reply))


def forward_to_owner(
    kernel: Kernel,
    client: PeerClient,
    peer_call: PeerCall,
) -> None:
    """Call the owner; report the result and hand the client back."""
    call_result = client.call(
        peer_call.address,
        peer_call.method,
        peer_call.message,
        peer_call.timeout_s,
    )
    send_to_service(
        kernel, ForwardDone(peer_call.request_id, call_result, client)
    )


def retry_later(kernel: Kernel, request_id: int, pause_s: float) -> None:
    """Report after pause_s that a request is to be sent again."""
    gevent.sleep(pause_s)
    send_to_service(kernel, RetryRequest(request_id))


def _claim_answer_from(
    page: Result[LogPage, Failure],
    offset: int,
) -> ClaimAnswer:
    records = page.ok_value.records if page.is_ok() else []
    stored_records = [
        decode(entry.value) for entry in records[:1] if entry.offset == offset
    ]
    if not stored_records or not isinstance(stored_records[0], Ended):
        return ClaimAnswer(
            verdicts.UNAVAILABLE,
            detail=f'the log returned no outcome at offset {offset}',
        )
    detail = (
        verdicts.DETAIL_BODY_OMITTED if stored_records[0].body_omitted else ''
    )
    return ClaimAnswer(verdicts.DONE, stored_records[0].outcome, detail)


def _log_failure(event: str, stream: str, failure: Failure) -> None:
    logger.bind(stream=stream, failure=repr(failure)).warning(event)
