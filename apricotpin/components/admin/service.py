"""Collects the health of services and reports whether the process is ready."""

from typing import Any

from apricotpin import const as names
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.messages.admin import GetProcessStatus, Health, ServiceStatus
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import GetReadiness, Readiness
from apricotpin.messages.weights import EngineState


class AdminService:
    """Own the latest health report of each service."""

    __slots__ = (
        '_config_offset',
        '_engine',
        '_health',
        '_host_id',
        '_kernel',
        '_stopping',
    )

    def __init__(self, kernel: Kernel, host_id: str) -> None:
        self._kernel = kernel
        self._host_id = host_id
        self._health: dict[str, Health] = {}
        self._stopping = False
        self._config_offset = -1
        self._engine = EngineState('', '')

    def record_health(self, message: Health, reply: Reply) -> None:
        """Record the latest health report of a service."""
        self._health[message.service] = message
        reply.ok()

    def record_stopping(self, _message: Stopping, reply: Reply) -> None:
        """Report not ready from now on, so that load balancers send no more."""
        self._stopping = True
        reply.ok()

    def record_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Record the offset of the configuration in force."""
        self._config_offset = message.accepted_offset
        reply.ok()

    def record_engine_state(self, message: EngineState, reply: Reply) -> None:
        """Record the version that the engine serves, or that it switches."""
        self._engine = message
        reply.ok()

    def report_readiness(self, _message: GetReadiness, reply: Reply) -> None:
        """Reply to operators' commands, which call processes over thrift."""
        reasons = self._not_ready_reasons()
        reply.ok(
            Readiness(
                self._host_id,
                ready=not reasons and not self._stopping,
                reason=' '.join(f'{name}: {why}' for name, why in reasons),
                state=self._host_state(),
                version=self._engine.version,
                config_offset=self._config_offset,
            ),
        )

    def report_status(self, _message: GetProcessStatus, reply: Reply) -> None:
        """Reply with whether the process is ready, and the reasons if not."""
        reasons = dict(self._not_ready_reasons())
        fields: dict[str, Any] = {
            'host_id': self._host_id,
            'stopping': self._stopping,
            'ready': not reasons and not self._stopping,
            'not_ready': reasons,
        }
        reply.ok(ServiceStatus('admin', fields))

    def _not_ready_reasons(self) -> list[tuple[str, str]]:
        return [
            (health.service, health.reason)
            for health in self._health.values()
            if not health.ready
        ]

    def _host_state(self) -> str:
        if self._stopping:
            return names.HOST_LEAVING
        if self._engine.switching:
            return names.HOST_SWITCHING
        return names.HOST_LIVE
