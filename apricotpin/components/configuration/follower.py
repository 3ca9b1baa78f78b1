"""Worker that reads the configuration stream by long poll."""

import random

import gevent
from loguru import logger
from result import Result

from apricotpin.components.configuration import const
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.helpers.backoff import jittered_pause
from apricotpin.helpers.log_client import LogClient
from apricotpin.helpers.metrics import count, count_retry
from apricotpin.messages.configuration import ConfigLogRead


def follow_log(kernel: Kernel, log_url: str) -> None:
    """Read the stream until killed and hand each page to the service."""
    client = LogClient(log_url, const.LOG_TIMEOUT_S)
    pause_s = jittered_pause(
        const.FIRST_PAUSE_S,
        const.LONGEST_PAUSE_S,
        random.random,
    )
    position = 0
    failures = 0
    while True:
        read = _read_once(kernel, client, position)
        if read.is_ok():
            position = read.ok_value
            failures = 0
            continue
        failures += 1
        count_retry(kernel, read.err_value.kind.value)
        if failures == 1:
            logger.bind(cause=read.err_value).warning('log_not_read')
        gevent.sleep(pause_s(failures))


def _read_once(
    kernel: Kernel,
    client: LogClient,
    position: int,
) -> Result[int, Failure]:
    """Read one page and return the position after it."""
    read = client.read(const.CONFIG_STREAM, position, const.LONG_POLL_MS)
    count(kernel, 'log_reads_total')
    if read.is_err():
        return read
    page = read.ok_value
    if not page.records:
        gevent.sleep(const.EMPTY_PAUSE_S)
    return kernel.call(SERVICE_CONFIGURATION, ConfigLogRead(position, page))
