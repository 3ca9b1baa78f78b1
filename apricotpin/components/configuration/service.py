"""Keep the configuration in force and announce its changes."""

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
    checkpoint_is_due,
    note_hosts,
    note_read,
    read_is_due,
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


class Workers:
    """Hold the functions that start work on the network."""

    __slots__ = ('ask_peer', 'write_checkpoint')

    def __init__(
        self,
        ask_peer: Callable[[str], None],
        write_checkpoint: Callable[[Any], None],
    ) -> None:
        self.ask_peer = ask_peer
        self.write_checkpoint = write_checkpoint


class ConfigurationService:
    """Own the folded state of the configuration stream."""

    __slots__ = (
        '_announced_offset',
        '_kernel',
        '_log',
        '_site',
        '_state',
        '_waiting_reader',
        '_workers',
    )

    def __init__(
        self,
        kernel: Kernel,
        site: str,
        log: LogUse,
        workers: Workers,
    ) -> None:
        self._kernel = kernel
        self._site = site
        self._log = log
        self._workers = workers
        self._state = FoldState()
        self._announced_offset = const.NO_OFFSET
        self._waiting_reader: Reply | None = None

    def start(self) -> None:
        """Report not ready until a configuration is known."""
        self._report_health('no configuration is known')

    def order_read(
        self, _message: messages.GetNextConfigRead, reply: Reply
    ) -> None:
        """Answer with the position to read from as soon as a read is due."""
        self._waiting_reader = reply
        self._release_reader()

    def fold_read(self, message: messages.ConfigLogRead, reply: Reply) -> None:
        """Fold a page of the log."""
        page = message.page
        self._replace_state(fold_page(self._state, page))
        note_read(self._log, self._state, page, message.position, _wall_ms())
        reply.ok()

    def note_failure(
        self, message: messages.ConfigLogReadFailed, _reply: Reply
    ) -> None:
        """Keep the reason why the log could not be read."""
        self._log.failure = message.detail

    def note_offsets(
        self, message: messages.ConfigOffsetsReported, _reply: Reply
    ) -> None:
        """Ask a peer for its state if it has a later configuration."""
        self._log.answered_s = time.monotonic()
        if message.accepted_offset > self._state.accepted_offset:
            self._workers.ask_peer(message.address)

    def take_peer_state(
        self, message: messages.PeerStateRead, _reply: Reply
    ) -> None:
        """Take over the state of a peer unless that would be a step back."""
        if message.state is None:
            return
        told = state_from_peer(message.state)
        if told.is_ok() and is_newer(told.ok_value, self._state):
            self._log.position = told.ok_value.folded_offset
            self._replace_state(told.ok_value)

    def note_hosts(self, message: HostsChanged, _reply: Reply) -> None:
        """Keep the rank of this host among the writers of checkpoints."""
        note_hosts(self._log, self._kernel.name, message.hosts)

    def tick(self, _message: messages.ConfigTick, _reply: Reply) -> None:
        """Start overdue reads and checkpoints."""
        self._release_reader()
        now_ms = _wall_ms()
        if checkpoint_is_due(self._log, self._state, now_ms):
            self._log.write_from_ms = now_ms + const.WRITE_LIMIT_MS
            fields = checkpoint_fields(self._state)
            self._workers.write_checkpoint(fields)

    def note_written(
        self, _message: messages.CheckpointWritten, _reply: Reply
    ) -> None:
        """Allow the next checkpoint after a pause."""
        self._log.write_from_ms = _wall_ms() + const.CHECKPOINT_RETRY_MS

    def give_state(
        self, _message: messages.GetConfigState, reply: Reply
    ) -> None:
        """Answer with the state that a peer may take over."""
        state = self._state
        text = state.bundle.as_text() if state.bundle else ''
        reply.ok(
            messages.ConfigState(
                state.folded_offset, state.accepted_offset, text
            )
        )

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the offsets for the status page."""
        fields = {
            'accepted_offset': self._state.accepted_offset,
            'folded_offset': self._state.folded_offset,
            'in_force_offset': self._announced_offset,
            'log': self._log.failure or 'read',
            'site': self._site,
        }
        reply.ok(ServiceStatus(names.SERVICE_CONFIGURATION, fields))

    def _release_reader(self) -> None:
        reader = self._waiting_reader
        if reader is not None and read_is_due(self._log, time.monotonic()):
            self._waiting_reader = None
            reader.ok(self._log.position)

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
        if state.accepted_offset > self._announced_offset:
            self._announce(state)

    def _announce(self, state: FoldState) -> None:
        checked = document_for_site(state.bundle, self._site)
        if checked.is_err():
            # The last document of this site stays in force.
            detail = checked.err_value.detail
            logger.bind(
                offset=state.accepted_offset,
                cause=detail,
            ).error('config_not_for_site')
            self._report_health(detail)
            return
        self._announced_offset = state.accepted_offset
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


def _wall_ms() -> int:
    return time.time_ns() // const.NS_PER_MS
