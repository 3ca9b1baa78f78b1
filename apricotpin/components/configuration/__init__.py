"""Configuration in force, folded from the log service."""

import random
import time
from typing import Any

from gevent.queue import Queue
from result import Ok, Result

from apricotpin.components.configuration import const, follower
from apricotpin.components.configuration.log_use import LogUse
from apricotpin.components.configuration.service import (
    ConfigurationService,
    Workers,
)
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.messages import configuration as messages
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.hosts import HostsChanged
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the configuration service."""
    addresses: Queue = Queue(maxsize=1)
    log = LogUse.from_settings(settings, time.monotonic(), random.random())
    service = ConfigurationService(
        kernel,
        settings.site,
        log,
        _make_workers(kernel, settings, addresses),
    )

    def start(_message: Started, _reply: Reply) -> None:
        source_ip = settings.peer_listen.ip
        kernel.spawn(follower.follow_log, kernel, settings.log_url)
        kernel.spawn(follower.read_peers, kernel, addresses, source_ip)
        kernel.send_every(
            SERVICE_CONFIGURATION,
            messages.ConfigTick(),
            const.TICK_S,
        )

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            Started: start,
            messages.GetNextConfigRead: service.order_read,
            messages.ConfigLogRead: service.fold_read,
            messages.ConfigLogReadFailed: service.note_failure,
            messages.ConfigOffsetsReported: service.note_offsets,
            messages.PeerStateRead: service.take_peer_state,
            messages.ConfigTick: service.tick,
            messages.CheckpointWritten: service.note_written,
            messages.GetConfigState: service.give_state,
            HostsChanged: service.note_hosts,
            GetServiceStatus: service.report,
        },
    )
    service.start()
    return Ok(None)


def _make_workers(
    kernel: Kernel,
    settings: Settings,
    addresses: Queue,
) -> Workers:
    def ask_peer(address: str) -> None:
        # One question at a time; the next heartbeat brings another chance.
        if not addresses.full():
            addresses.put_nowait(address)

    def write_checkpoint(fields: Any) -> None:
        kernel.spawn(
            follower.write_checkpoint,
            kernel,
            settings.log_url,
            fields,
        )

    return Workers(ask_peer, write_checkpoint)
