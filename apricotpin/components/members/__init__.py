"""Known hosts and their states, from heartbeats, peers and the host list."""

from result import Ok, Result

from apricotpin.components.members import const
from apricotpin.components.members.host_list import follow_host_list
from apricotpin.components.members.leave_notice import LeaveNotice
from apricotpin.components.members.service import MembersService, PeerCallTasks
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
    call_tasks = PeerCallTasks()
    leave_notice = LeaveNotice()
    service = MembersService(kernel, settings, call_tasks, leave_notice)

    def start(_message: Started, _reply: Reply) -> None:
        source_ip = settings.peer_listen.ip
        for task in call_tasks.heartbeats + call_tasks.pulls:
            kernel.spawn(task.run, kernel, source_ip)
        kernel.spawn(follow_host_list, kernel, settings.host_list_url)
        kernel.send_every(
            SERVICE_MEMBERS, MembersTick(), const.HEARTBEAT_PERIOD_S
        )
        kernel.send_every(
            SERVICE_MEMBERS, HostsTick(), const.HOSTS_PUBLISH_PERIOD_S
        )

    kernel.register(
        SERVICE_MEMBERS,
        {
            Started: start,
            HostListRead: service.handle_host_list,
            Heartbeat: service.handle_heartbeat,
            SyncHosts: service.handle_pull,
            PeerCallDone: service.handle_peer_call_done,
            EngineState: service.handle_engine_state,
            ConfigFolded: service.record_config_offsets,
            MembersTick: service.start_round,
            HostsTick: service.publish_hosts,
            GetServiceStatus: service.report_status,
            Stopping: service.announce_leaving,
        },
        on_stop=lambda: leave_notice.wait(const.LEAVE_NOTICE_TIMEOUT_S),
    )
    return Ok(None)
