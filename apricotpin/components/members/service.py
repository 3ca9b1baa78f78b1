"""Keep the table of hosts and exchange it with peers."""

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
from apricotpin.components.members.peer_workers import PeerWorker
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


class PeerWorkers:
    """Hold the workers for heartbeats and those for pulls."""

    __slots__ = ('heartbeats', 'pulls')

    def __init__(self) -> None:
        self.heartbeats = [PeerWorker() for _ in range(const.HEARTBEAT_TARGETS)]
        self.pulls = [PeerWorker() for _ in range(const.HEARTBEAT_TARGETS)]


class MembersService:
    """Own the table of hosts, and the record of this process in it."""

    __slots__ = (
        '_announced',
        '_leave_notice',
        '_folded',
        '_kernel',
        '_workers',
        '_list_read_s',
        '_own',
        '_rounds',
        '_table',
    )

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        workers: PeerWorkers,
        leave_notice: LeaveNotice,
    ) -> None:
        started_ms = time.time_ns() // const.NS_PER_MS
        self._kernel = kernel
        self._workers = workers
        self._leave_notice = leave_notice
        self._table = table.Table(started_ms, time.monotonic())
        self._rounds = orders.Rounds(settings.seed_peers)
        self._own = own_host.first_record(settings, started_ms)
        self._folded = ConfigFolded(-1, 0)
        self._announced = 0
        self._list_read_s = -const.FORGET_AFTER_S
        reports.note_self(self._table, self._own, time.monotonic())

    def take_list(self, message: HostListRead, _reply: Reply) -> None:
        """Take over the platform's host list."""
        self._list_read_s = time.monotonic()
        reports.note_list(self._table, message.entries, self._list_read_s)

    def take_heartbeat(self, message: Heartbeat, reply: Reply) -> None:
        """Take over a heartbeat and tell which configuration is in force."""
        count(self._kernel, 'heartbeats_total')
        reports.note_heartbeat(self._table, message.host, time.monotonic())
        folded = self._folded
        reply.ok(
            HeartbeatAnswer(folded.accepted_offset, folded.folded_offset),
        )

    def give_changes(self, message: SyncHosts, reply: Reply) -> None:
        """Answer with the records changed since the last pull."""
        changes = syncing.changes_since(self._table, message)
        changes.accepted_offset = self._folded.accepted_offset
        changes.folded_offset = self._folded.folded_offset
        reply.ok(changes)

    def take_answer(self, message: PeerCallDone, _reply: Reply) -> None:
        """Take over the outcome of a heartbeat or a pull."""
        address = message.order.address
        self._leave_notice.note_answer(message.order)
        if message.outcome.is_err():
            count_retry(self._kernel, message.outcome.err_value.kind.value)
            orders.note_failed(self._rounds, address, time.monotonic())
            return
        answer = message.outcome.ok_value
        if isinstance(answer, HostChanges):
            self._take_changes(address, answer)
        self._kernel.publish(
            ConfigOffsetsReported(
                address,
                answer.accepted_offset,
                answer.folded_offset,
            ),
        )

    def take_engine_state(self, message: EngineState, _reply: Reply) -> None:
        """Publish what the engine has confirmed."""
        before = self._own
        self._set_own(own_host.with_engine_state(before, message))
        if own_host.is_urgent(before, self._own):
            self._send_heartbeats()

    def take_offsets(self, message: ConfigFolded, _reply: Reply) -> None:
        """Keep the offsets that answers to peers carry."""
        self._folded = message

    def start_round(self, _message: MembersTick, _reply: Reply) -> None:
        """Order the heartbeats and pulls of this second."""
        now_s = time.monotonic()
        list_age_s = now_s - self._list_read_s
        list_is_fresh = list_age_s < const.REMOVE_AFTER_S
        sweeping.sweep(self._table, now_s, list_is_fresh)
        self._rounds.number += 1
        orders.update_watch(self._own, self._table, self._rounds, now_s)
        self._send_heartbeats()
        pulls = orders.pull_orders(
            self._own,
            self._table,
            self._rounds,
            now_s,
        )
        _offer(self._workers.pulls, pulls)

    def announce(self, _message: HostsTick, _reply: Reply) -> None:
        """Publish the hosts if something changed since the last time."""
        if self._table.change == self._announced:
            return
        self._announced = self._table.change
        hosts = table.visible_hosts(self._table)
        self._kernel.publish(HostsChanged(hosts))
        self._set_gauges(hosts)

    def report(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the number of hosts in each state."""
        hosts = table.visible_hosts(self._table)
        fields = {
            'incarnation': self._own.incarnation,
            'state': self._own.state,
            'change': self._table.change,
            # Hosts whose own word is known, beside those only listed.
            'heard': sum(bool(host.incarnation) for host in hosts),
            'hosts': collections.Counter(host.state for host in hosts),
        }
        reply.ok(ServiceStatus(names.SERVICE_MEMBERS, fields))

    def leave(self, _message: Stopping, _reply: Reply) -> None:
        """Report leaving at once."""
        leaving = table.copy_host(self._own, state=names.HOST_LEAVING)
        self._set_own(leaving)
        self._leave_notice.expect(self._send_heartbeats())

    def _take_changes(self, address: str, changes: HostChanges) -> None:
        orders.note_pulled(self._rounds, address, changes)
        now_s = time.monotonic()
        for host in changes.hosts:
            if host.host_id == self._own.host_id:
                self._set_own(own_host.after_hearsay(self._own, host))
            else:
                reports.note_gossip(self._table, host, now_s)

    def _set_own(self, own: Host) -> None:
        reports.note_self(self._table, own, time.monotonic())
        self._own = self._table.rows[own.host_id].host

    def _send_heartbeats(self) -> list[PeerCallOrder]:
        own = self._table.rows[self._own.host_id].host
        next_count = own.heartbeat_count + 1
        self._set_own(
            table.copy_host(
                own,
                heartbeat_count=next_count,
                config_offset=self._folded.accepted_offset,
            )
        )
        heartbeats = orders.heartbeat_orders(
            self._own,
            self._table,
            self._rounds,
            time.monotonic(),
        )
        _offer(self._workers.heartbeats, heartbeats)
        return heartbeats

    def _set_gauges(self, hosts: list[Host]) -> None:
        by_state = collections.Counter(host.state for host in hosts)
        for state in names.HOST_STATES:
            set_gauge(self._kernel, 'hosts_known', by_state[state], state)


def _offer(workers: list[PeerWorker], exchanges: list[PeerCallOrder]) -> None:
    for worker, exchange in zip(workers, exchanges, strict=False):
        worker.offer(exchange)
