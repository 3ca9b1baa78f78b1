"""Known hosts and their state, by heartbeat, host list and exchange."""

from result import Ok, Result

from apricotpin.components.members import const
from apricotpin.components.members.host_list import follow_host_list
from apricotpin.components.members.leave_notice import LeaveNotice
from apricotpin.components.members.service import MembersService, PeerWorkers
from apricotpin.const import SERVICE_MEMBERS
from apricotpin.core import Kernel, Reply, Started, Stopping
from apricotpin.errors import Failure
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.configuration import ConfigFolded
from apricotpin.messages.hosts import Heartbeat, SyncHosts
from apricotpin.messages.members import (
    HostListRead,
    HostsTick,
    MembersTick,
    PeerCallDone,
)
from apricotpin.messages.weights import EngineState
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the members service."""
    workers = PeerWorkers()
    leave_notice = LeaveNotice()
    service = MembersService(kernel, settings, workers, leave_notice)

    def start(_message: Started, _reply: Reply) -> None:
        source_ip = settings.peer_listen.ip
        for worker in workers.heartbeats + workers.pulls:
            kernel.spawn(worker.run, kernel, source_ip)
        kernel.spawn(follow_host_list, kernel, settings.host_list_url)
        kernel.send_every(
            SERVICE_MEMBERS, MembersTick(), const.HEARTBEAT_PERIOD_S
        )
        kernel.send_every(SERVICE_MEMBERS, HostsTick(), const.HOSTS_PERIOD_S)

    kernel.register(
        SERVICE_MEMBERS,
        {
            Started: start,
            HostListRead: service.take_list,
            Heartbeat: service.take_heartbeat,
            SyncHosts: service.give_changes,
            PeerCallDone: service.take_answer,
            EngineState: service.take_engine_state,
            ConfigFolded: service.take_offsets,
            MembersTick: service.start_round,
            HostsTick: service.announce,
            GetServiceStatus: service.report,
            Stopping: service.leave,
        },
        on_stop=lambda: leave_notice.wait(const.LEAVE_NOTICE_S),
    )
    return Ok(None)
