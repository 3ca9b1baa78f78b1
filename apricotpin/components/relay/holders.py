"""Agents of the own data centre whose workers hold a version whole."""

from apricotpin.components.relay.const import HOLDER_FRESH_S
from apricotpin.messages.desired import DesiredState, Engine, ModelVersion
from apricotpin.messages.fleet import LoadReport


class Holder:
    """Hold which version an agent's worker reported, and when."""

    __slots__ = ('heard_s', 'held')

    def __init__(self, held: ModelVersion, heard_s: float) -> None:
        self.held = held
        self.heard_s = heard_s


class Holders:
    """Hold the last word of each agent; times are of the monotonic clock."""

    __slots__ = ('_by_agent', '_data_centre', '_engines')

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._engines: dict[str, Engine] = {}
        self._by_agent: dict[str, Holder] = {}

    def change_state(self, state: DesiredState) -> None:
        """Learn which model each service runs."""
        self._engines = {
            spec.name: spec.engine
            for spec in state.services
            if spec.engine is not None
        }

    def take(self, report: LoadReport, now_s: float) -> ModelVersion | None:
        """Take a report; return what it says of whole weights, if anything."""
        engine = self._engines.get(report.service_name)
        if engine is None or report.data_centre != self._data_centre:
            return None
        if not _is_whole(report, engine):
            self._by_agent.pop(report.peer_address, None)
            return None
        held = ModelVersion(engine.model, report.version)
        self._by_agent[report.peer_address] = Holder(held, now_s)
        return held

    def of_version(
        self,
        model: str,
        version: int,
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the agents that reported a version lately."""
        return tuple(
            sorted(
                address
                for address, one in self._by_agent.items()
                if one.held.model == model
                and one.held.version == version
                and now_s - one.heard_s < HOLDER_FRESH_S
            ),
        )


def _is_whole(report: LoadReport, engine: Engine) -> bool:
    whole = report.layers_start == 0 and report.layers_end >= engine.layers
    return report.reachable and whole and report.version > 0
