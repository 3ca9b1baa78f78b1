"""Tasks of the configuration service that use the network."""

import random

import gevent
from gevent.queue import Queue
from loguru import logger
from result import Result

from apricotpin.components.configuration import const
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.log_client import LogClient
from apricotpin.helpers.metrics import count, count_retry
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.configuration import (
    CheckpointWritten,
    ConfigLogRead,
    ConfigLogReadFailed,
    GetConfigState,
    GetNextConfigRead,
    PeerStateRead,
)


def follow_log(kernel: Kernel, log_url: str) -> None:
    """Read the configuration stream when the service orders it."""
    client = LogClient(log_url, const.LOG_TIMEOUT_S)
    backoff_s = jittered_backoff(
        const.BACKOFF_FIRST_S,
        const.BACKOFF_MAX_S,
        random.random,
    )
    failure_count = 0
    while True:
        read = _read_page(kernel, client)
        if read.is_ok() or read.err_value.kind == ErrorKind.TIMEOUT:
            failure_count = 0
            continue
        failure_count += 1
        _report_failure(kernel, read.err_value, failure_count)
        gevent.sleep(backoff_s(failure_count))


def read_peer_states(kernel: Kernel, addresses: Queue, source_ip: str) -> None:
    """Request the states of peers, one after the other."""
    client = PeerClient(source_ip)
    for address in addresses:
        outcome = client.call(
            address,
            'config_state',
            GetConfigState(),
            const.PEER_TIMEOUT_S,
        )
        if outcome.is_err():
            count_retry(kernel, outcome.err_value.kind.value)
        message = PeerStateRead(outcome.unwrap_or(None))
        kernel.send(SERVICE_CONFIGURATION, message)


def write_checkpoint(kernel: Kernel, log_url: str, fields: object) -> None:
    """Append a checkpoint once; the service orders another if it failed."""
    client = LogClient(log_url, const.LOG_TIMEOUT_S)
    appended = client.append(const.CONFIG_STREAM, [fields])
    outcome = 'ok' if appended.is_ok() else 'failed'
    count(kernel, 'log_appends_total', outcome)
    logger.bind(outcome=outcome).info('checkpoint_written')
    kernel.send(SERVICE_CONFIGURATION, CheckpointWritten())


def _read_page(kernel: Kernel, client: LogClient) -> Result[None, Failure]:
    """Wait until a read is due, read one page and send it to the service."""
    ordered = kernel.call(
        SERVICE_CONFIGURATION,
        GetNextConfigRead(),
        const.READ_ORDER_TIMEOUT_S,
    )
    if ordered.is_err():
        return ordered
    position = ordered.ok_value
    read = client.read(const.CONFIG_STREAM, position, const.LONG_POLL_MS)
    count(kernel, 'log_reads_total')
    if read.is_err():
        return read
    page = read.ok_value
    if not page.records:
        gevent.sleep(const.EMPTY_READ_PAUSE_S)
    return kernel.call(SERVICE_CONFIGURATION, ConfigLogRead(position, page))


def _report_failure(
    kernel: Kernel, failure: Failure, failure_count: int
) -> None:
    count_retry(kernel, failure.kind.value)
    kernel.send(SERVICE_CONFIGURATION, ConfigLogReadFailed(failure.detail))
    if failure_count == 1:
        logger.bind(cause=failure).warning('log_not_read')
