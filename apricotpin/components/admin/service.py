"""Collect the health of services and report it."""

from typing import Any

from apricotpin import const as names
from apricotpin.core import Kernel, Reply, Stopping
from apricotpin.messages.admin import GetProcessStatus, Health, ServiceStatus
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import GetReadiness, Readiness
from apricotpin.messages.weights import EngineState


class AdminService:
    """Own the last health report of each service."""

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

    def note_health(self, message: Health, reply: Reply) -> None:
        """Keep the latest report of a service."""
        self._health[message.service] = message
        reply.ok()

    def note_stopping(self, _message: Stopping, reply: Reply) -> None:
        """Report unhealthy from now on, so that balancers send no more."""
        self._stopping = True
        reply.ok()

    def note_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Keep the offset of the configuration in force."""
        self._config_offset = message.accepted_offset
        reply.ok()

    def note_engine(self, message: EngineState, reply: Reply) -> None:
        """Keep what the engine serves."""
        self._engine = message
        reply.ok()

    def report_readiness(self, _message: GetReadiness, reply: Reply) -> None:
        """Answer to operators, who ask all processes over thrift."""
        reasons = self._reasons()
        reply.ok(
            Readiness(
                self._host_id,
                ready=not reasons and not self._stopping,
                reason=' '.join(f'{name}: {why}' for name, why in reasons),
                state=self._state(),
                version=self._engine.version,
                config_offset=self._config_offset,
            ),
        )

    def report(self, _message: GetProcessStatus, reply: Reply) -> None:
        """Answer with readiness and the reasons against it."""
        reasons = dict(self._reasons())
        fields: dict[str, Any] = {
            'host_id': self._host_id,
            'stopping': self._stopping,
            'ready': not reasons and not self._stopping,
            'not_ready': reasons,
        }
        reply.ok(ServiceStatus('admin', fields))

    def _reasons(self) -> list[tuple[str, str]]:
        return [
            (health.service, health.reason)
            for health in self._health.values()
            if not health.ready
        ]

    def _state(self) -> str:
        if self._stopping:
            return names.HOST_LEAVING
        if self._engine.switching:
            return names.HOST_SWITCHING
        return names.HOST_LIVE
