"""Service that owns the configuration in force and publishes changes."""

import time
from collections.abc import Callable
from typing import Any

from loguru import logger

from apricotpin import const as names
from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import document_for_site
from apricotpin.components.configuration.checkpoints import checkpoint_fields
from apricotpin.components.configuration.decisions import (
    FoldState,
    fold_page,
    is_newer,
    state_from_peer,
)
from apricotpin.components.configuration.log_use import (
    LogUse,
    is_checkpoint_due,
    is_read_due,
    record_read,
    update_checkpoint_rank,
)
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import set_gauge
from apricotpin.messages import configuration as messages
from apricotpin.messages.admin import (
    GetServiceStatus,
    Health,
    ServiceStatus,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged


class NetworkTasks:
    """Hold the functions that hand work to tasks that use the network."""

    __slots__ = ('request_peer_state', 'write_checkpoint')

    def __init__(
        self,
        request_peer_state: Callable[[str], None],
        write_checkpoint: Callable[[Any], None],
    ) -> None:
        self.request_peer_state = request_peer_state
        self.write_checkpoint = write_checkpoint


class ConfigurationService:
    """Own the folded state of the configuration stream."""

    __slots__ = (
        '_in_force_offset',
        '_kernel',
        '_log_use',
        '_network_tasks',
        '_pending_read',
        '_site',
        '_state',
    )

    def __init__(
        self,
        kernel: Kernel,
        site: str,
        log_use: LogUse,
        network_tasks: NetworkTasks,
    ) -> None:
        self._kernel = kernel
        self._site = site
        self._log_use = log_use
        self._network_tasks = network_tasks
        self._state = FoldState()
        self._in_force_offset = const.NO_OFFSET
        self._pending_read: Reply | None = None

    def report_not_ready(self) -> None:
        """Report as not ready; the first configuration changes that."""
        self._report_health('no configuration is known')

    def handle_next_read(
        self, _message: messages.GetNextConfigRead, reply: Reply
    ) -> None:
        """Reply with the offset to read from as soon as a read is due."""
        self._pending_read = reply
        self._reply_if_read_due()

    def handle_log_read(
        self, message: messages.ConfigLogRead, reply: Reply
    ) -> None:
        """Fold a page of the log."""
        page = message.page
        self._replace_state(fold_page(self._state, page))
        record_read(
            self._log_use, self._state, page, message.position, _wall_clock_ms()
        )
        reply.ok()

    def record_read_failure(
        self, message: messages.ConfigLogReadFailed, _reply: Reply
    ) -> None:
        """Record why the log could not be read."""
        self._log_use.read_failure = message.detail

    def handle_peer_offsets(
        self, message: messages.ConfigOffsetsReported, _reply: Reply
    ) -> None:
        """Request the state of a peer that has a newer configuration."""
        self._log_use.last_entry_reply_s = time.monotonic()
        if message.accepted_offset > self._state.accepted_offset:
            self._network_tasks.request_peer_state(message.address)

    def apply_peer_state(
        self, message: messages.PeerStateRead, _reply: Reply
    ) -> None:
        """Adopt the state of a peer if it is newer than this one."""
        if message.state is None:
            return
        peer_state = state_from_peer(message.state)
        if peer_state.is_ok() and is_newer(peer_state.ok_value, self._state):
            self._log_use.position = peer_state.ok_value.folded_offset
            self._replace_state(peer_state.ok_value)

    def handle_hosts(self, message: HostsChanged, _reply: Reply) -> None:
        """Update the rank of this host among the writers of checkpoints."""
        update_checkpoint_rank(self._log_use, self._kernel.name, message.hosts)

    def start_due_work(
        self, _message: messages.ConfigTick, _reply: Reply
    ) -> None:
        """Start a read and a checkpoint if they are due."""
        self._reply_if_read_due()
        now_ms = _wall_clock_ms()
        if is_checkpoint_due(self._log_use, self._state, now_ms):
            self._log_use.next_checkpoint_ms = (
                now_ms + const.CHECKPOINT_APPEND_TIMEOUT_MS
            )
            fields = checkpoint_fields(self._state)
            self._network_tasks.write_checkpoint(fields)

    def record_checkpoint_written(
        self, _message: messages.CheckpointWritten, _reply: Reply
    ) -> None:
        """Allow the next checkpoint after CHECKPOINT_RETRY_MS."""
        self._log_use.next_checkpoint_ms = (
            _wall_clock_ms() + const.CHECKPOINT_RETRY_MS
        )

    def handle_get_state(
        self, _message: messages.GetConfigState, reply: Reply
    ) -> None:
        """Reply with the folded state for a peer."""
        state = self._state
        document_json = state.bundle.as_text() if state.bundle else ''
        reply.ok(
            messages.ConfigState(
                state.folded_offset, state.accepted_offset, document_json
            )
        )

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the offsets for the status page."""
        fields = {
            'accepted_offset': self._state.accepted_offset,
            'folded_offset': self._state.folded_offset,
            'in_force_offset': self._in_force_offset,
            'log': self._log_use.read_failure or 'read',
            'site': self._site,
        }
        reply.ok(ServiceStatus(names.SERVICE_CONFIGURATION, fields))

    def _reply_if_read_due(self) -> None:
        pending_read = self._pending_read
        if pending_read is not None and is_read_due(
            self._log_use, time.monotonic()
        ):
            self._pending_read = None
            pending_read.ok(self._log_use.position)

    def _replace_state(self, state: FoldState) -> None:
        if state.folded_offset != self._state.folded_offset:
            self._kernel.publish(
                messages.ConfigFolded(
                    state.accepted_offset, state.folded_offset
                ),
            )
        self._state = state
        if state.bundle is None:
            return
        if state.accepted_offset > self._in_force_offset:
            self._put_in_force(state)

    def _put_in_force(self, state: FoldState) -> None:
        checked = document_for_site(state.bundle, self._site)
        if checked.is_err():
            # The previous document of this site stays in force.
            detail = checked.err_value.detail
            logger.bind(
                offset=state.accepted_offset,
                cause=detail,
            ).error('config_invalid_for_site')
            self._report_health(detail)
            return
        self._in_force_offset = state.accepted_offset
        logger.bind(offset=state.accepted_offset).info('config_in_force')
        set_gauge(
            self._kernel,
            'config_accepted_offset',
            state.accepted_offset,
        )
        self._report_health('')
        self._kernel.publish(
            ConfigChanged(state.accepted_offset, checked.ok_value),
        )

    def _report_health(self, reason: str) -> None:
        health = Health(names.SERVICE_CONFIGURATION, not reason, reason)
        self._kernel.send(names.SERVICE_ADMIN, health)


def _wall_clock_ms() -> int:
    return time.time_ns() // const.NS_PER_MS
