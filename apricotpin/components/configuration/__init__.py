"""Configuration in force, computed from records of the log service."""

import random
import time
from typing import Any

from gevent.queue import Queue
from result import Ok, Result

from apricotpin.components.configuration import const, tasks
from apricotpin.components.configuration.log_use import LogUse
from apricotpin.components.configuration.service import (
    ConfigurationService,
    NetworkTasks,
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
    log_use = LogUse.from_settings(settings, time.monotonic(), random.random())
    service = ConfigurationService(
        kernel,
        settings.site,
        log_use,
        _make_network_tasks(kernel, settings, addresses),
    )

    def start(_message: Started, _reply: Reply) -> None:
        source_ip = settings.peer_listen.ip
        kernel.spawn(tasks.follow_log, kernel, settings.log_url)
        kernel.spawn(tasks.read_peer_states, kernel, addresses, source_ip)
        kernel.send_every(
            SERVICE_CONFIGURATION,
            messages.ConfigTick(),
            const.TICK_S,
        )

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            Started: start,
            messages.GetNextConfigRead: service.handle_next_read,
            messages.ConfigLogRead: service.handle_log_read,
            messages.ConfigLogReadFailed: service.record_read_failure,
            messages.ConfigOffsetsReported: service.handle_peer_offsets,
            messages.PeerStateRead: service.apply_peer_state,
            messages.ConfigTick: service.start_due_work,
            messages.CheckpointWritten: service.record_checkpoint_written,
            messages.GetConfigState: service.handle_get_state,
            HostsChanged: service.handle_hosts,
            GetServiceStatus: service.report_status,
        },
    )
    service.report_not_ready()
    return Ok(None)


def _make_network_tasks(
    kernel: Kernel,
    settings: Settings,
    addresses: Queue,
) -> NetworkTasks:
    def request_peer_state(address: str) -> None:
        # At most one address waits; the next heartbeat to a peer reports its
        # offsets again.
        if not addresses.full():
            addresses.put_nowait(address)

    def write_checkpoint(fields: Any) -> None:
        kernel.spawn(
            tasks.write_checkpoint,
            kernel,
            settings.log_url,
            fields,
        )

    return NetworkTasks(request_peer_state, write_checkpoint)
