"""Service that owns the host table and synchronizes it with peers."""

import collections
import time

from apricotpin import const as names
from apricotpin.components.members import (
    const,
    orders,
    own_host,
    reports,
    sweeping,
    syncing,
    table,
)
from apricotpin.components.members.leave_notice import LeaveNotice
from apricotpin.components.members.peer_call_tasks import PeerCallTask
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.helpers.metrics import count, count_retry, set_gauge
from apricotpin.messages.admin import GetServiceStatus, ServiceStatus
from apricotpin.messages.configuration import (
    ConfigFolded,
    ConfigOffsetsReported,
)
from apricotpin.messages.hosts import (
    Heartbeat,
    HeartbeatAnswer,
    Host,
    HostChanges,
    HostsChanged,
    SyncHosts,
)
from apricotpin.messages.members import (
    HostListRead,
    HostsTick,
    MembersTick,
    PeerCallDone,
    PeerCallOrder,
)
from apricotpin.messages.weights import EngineState
from apricotpin.settings import Settings


class PeerCallTasks:
    """Hold the tasks that send heartbeats and those that send pulls."""

    __slots__ = ('heartbeats', 'pulls')

    def __init__(self) -> None:
        self.heartbeats = [PeerCallTask() for _ in range(const.PEERS_PER_ROUND)]
        self.pulls = [PeerCallTask() for _ in range(const.PEERS_PER_ROUND)]


class MembersService:
    """Own the host table and the record of this process in it."""

    __slots__ = (
        '_published_change_number',
        '_leave_notice',
        '_config_offsets',
        '_kernel',
        '_call_tasks',
        '_list_received_s',
        '_own_record',
        '_rounds',
        '_table',
    )

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        call_tasks: PeerCallTasks,
        leave_notice: LeaveNotice,
    ) -> None:
        started_ms = time.time_ns() // const.NS_PER_MS
        self._kernel = kernel
        self._call_tasks = call_tasks
        self._leave_notice = leave_notice
        self._table = table.HostTable(started_ms, time.monotonic())
        self._rounds = orders.RoundState(settings.seed_peers)
        self._own_record = own_host.initial_record(settings, started_ms)
        self._config_offsets = ConfigFolded(-1, 0)
        self._published_change_number = 0
        # No host list has been received yet, so it counts as too old.
        self._list_received_s = -const.REMOVE_LIVE_AFTER_S
        reports.apply_own_record(
            self._table, self._own_record, time.monotonic()
        )

    def handle_host_list(self, message: HostListRead, _reply: Reply) -> None:
        """Apply the platform's host list."""
        self._list_received_s = time.monotonic()
        reports.apply_host_list(
            self._table, message.entries, self._list_received_s
        )

    def handle_heartbeat(self, message: Heartbeat, reply: Reply) -> None:
        """Apply a heartbeat and reply with this process's log offsets."""
        count(self._kernel, 'heartbeats_total')
        reports.apply_heartbeat(self._table, message.host, time.monotonic())
        config_offsets = self._config_offsets
        reply.ok(
            HeartbeatAnswer(
                config_offsets.accepted_offset, config_offsets.folded_offset
            ),
        )

    def handle_pull(self, message: SyncHosts, reply: Reply) -> None:
        """Reply to a pull with the records that the peer lacks."""
        changes = syncing.changes_since(self._table, message)
        changes.accepted_offset = self._config_offsets.accepted_offset
        changes.folded_offset = self._config_offsets.folded_offset
        reply.ok(changes)

    def handle_peer_call_done(
        self, message: PeerCallDone, _reply: Reply
    ) -> None:
        """Apply the outcome of a heartbeat or a pull."""
        address = message.order.address
        self._leave_notice.record_result(message.order)
        if message.outcome.is_err():
            count_retry(self._kernel, message.outcome.err_value.kind.value)
            orders.record_failure(self._rounds, address, time.monotonic())
            return
        peer_result = message.outcome.ok_value
        if isinstance(peer_result, HostChanges):
            self._apply_changes(address, peer_result)
        self._kernel.publish(
            ConfigOffsetsReported(
                address,
                peer_result.accepted_offset,
                peer_result.folded_offset,
            ),
        )

    def handle_engine_state(self, message: EngineState, _reply: Reply) -> None:
        """Update the own record with the state of the engine."""
        before = self._own_record
        self._update_own_record(own_host.with_engine_state(before, message))
        if own_host.needs_immediate_heartbeat(before, self._own_record):
            self._send_heartbeats()

    def record_config_offsets(
        self, message: ConfigFolded, _reply: Reply
    ) -> None:
        """Record the log offsets that are reported to peers."""
        self._config_offsets = message

    def start_round(self, _message: MembersTick, _reply: Reply) -> None:
        """Detect failed hosts and submit the calls of the next round."""
        now_s = time.monotonic()
        list_age_s = now_s - self._list_received_s
        list_is_fresh = list_age_s < const.REMOVE_DOWN_AFTER_S
        sweeping.sweep_hosts(self._table, now_s, list_is_fresh)
        self._rounds.round_number += 1
        orders.update_monitoring(
            self._own_record, self._table, self._rounds, now_s
        )
        self._send_heartbeats()
        pulls = orders.pull_orders(
            self._own_record,
            self._table,
            self._rounds,
            now_s,
        )
        _submit(self._call_tasks.pulls, pulls)

    def publish_hosts(self, _message: HostsTick, _reply: Reply) -> None:
        """Publish the hosts if the table changed since the last time."""
        if self._table.change_number == self._published_change_number:
            return
        self._published_change_number = self._table.change_number
        hosts = table.effective_hosts(self._table)
        self._kernel.publish(HostsChanged(hosts))
        self._set_gauges(hosts)

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with the number of hosts in each state."""
        hosts = table.effective_hosts(self._table)
        fields = {
            'incarnation': self._own_record.incarnation,
            'state': self._own_record.state,
            'change': self._table.change_number,
            # Hosts whose own process has reported; a host that is only in
            # the host list has incarnation 0.
            'heard': sum(bool(host.incarnation) for host in hosts),
            'hosts': collections.Counter(host.state for host in hosts),
        }
        reply.ok(ServiceStatus(names.SERVICE_MEMBERS, fields))

    def announce_leaving(self, _message: Stopping, _reply: Reply) -> None:
        """Send heartbeats with the state `leaving` at once."""
        leaving = table.copy_host(self._own_record, state=names.HOST_LEAVING)
        self._update_own_record(leaving)
        self._leave_notice.expect_results(self._send_heartbeats())

    def _apply_changes(self, address: str, changes: HostChanges) -> None:
        orders.record_pull(self._rounds, address, changes)
        now_s = time.monotonic()
        for host in changes.hosts:
            if host.host_id == self._own_record.host_id:
                self._update_own_record(
                    own_host.with_peer_report(self._own_record, host)
                )
            else:
                reports.apply_peer_record(self._table, host, now_s)

    def _update_own_record(self, own: Host) -> None:
        reports.apply_own_record(self._table, own, time.monotonic())
        self._own_record = self._table.rows[own.host_id].host

    def _send_heartbeats(self) -> list[PeerCallOrder]:
        own = self._table.rows[self._own_record.host_id].host
        heartbeat_count = own.heartbeat_count + 1
        self._update_own_record(
            table.copy_host(
                own,
                heartbeat_count=heartbeat_count,
                config_offset=self._config_offsets.accepted_offset,
            )
        )
        heartbeats = orders.heartbeat_orders(
            self._own_record,
            self._table,
            self._rounds,
            time.monotonic(),
        )
        _submit(self._call_tasks.heartbeats, heartbeats)
        return heartbeats

    def _set_gauges(self, hosts: list[Host]) -> None:
        count_by_state = collections.Counter(host.state for host in hosts)
        for state in names.HOST_STATES:
            set_gauge(self._kernel, 'hosts_known', count_by_state[state], state)


def _submit(
    call_tasks: list[PeerCallTask], call_orders: list[PeerCallOrder]
) -> None:
    for task, order in zip(call_tasks, call_orders, strict=False):
        task.submit(order)
