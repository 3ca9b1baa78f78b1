"""Agents of the local data centre that can serve a version's pieces."""

from apricotpin.components.relay.const import AGENT_REPORT_AGE_MAX_S
from apricotpin.messages.desired import DesiredState, Engine, ModelVersion
from apricotpin.messages.fleet import LoadReport


class AgentSource:
    """Describe the version that an agent's worker has loaded.

    received_s is when the agent reported it, on the monotonic clock.
    """

    __slots__ = ('loaded', 'received_s')

    def __init__(self, loaded: ModelVersion, received_s: float) -> None:
        self.loaded = loaded
        self.received_s = received_s


class AgentSources:
    """Track the local agents whose workers have loaded a complete version."""

    __slots__ = ('_by_agent', '_data_centre', '_engines')

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._engines: dict[str, Engine] = {}
        self._by_agent: dict[str, AgentSource] = {}

    def apply_state(self, state: DesiredState) -> None:
        """Record which model each service runs."""
        self._engines = {
            spec.name: spec.engine
            for spec in state.services
            if spec.engine is not None
        }

    def engine_of(self, model: str) -> Engine | None:
        """Return what the desired state says of a model, None if nothing."""
        engines = (one for one in self._engines.values() if one.model == model)
        return next(engines, None)

    def record_report(
        self, report: LoadReport, now_s: float
    ) -> ModelVersion | None:
        """Record a load report; return its version if that is complete."""
        engine = self._engines.get(report.service_name)
        if engine is None or report.data_centre != self._data_centre:
            return None
        if not _has_complete_version(report, engine):
            self._by_agent.pop(report.peer_address, None)
            return None
        loaded = ModelVersion(engine.model, report.version)
        self._by_agent[report.peer_address] = AgentSource(loaded, now_s)
        return loaded

    def with_version(
        self,
        model: str,
        version: int,
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the addresses of agents that recently reported a version."""
        return tuple(
            sorted(
                address
                for address, one in self._by_agent.items()
                if one.loaded.model == model
                and one.loaded.version == version
                and now_s - one.received_s < AGENT_REPORT_AGE_MAX_S
            ),
        )


def _has_complete_version(report: LoadReport, engine: Engine) -> bool:
    is_complete = (
        report.layers_start == 0 and report.layers_end >= engine.layers
    )
    return report.reachable and is_complete and report.version > 0
