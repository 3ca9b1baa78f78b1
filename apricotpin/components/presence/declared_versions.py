"""Track the declared versions of each model and when they were declared."""

from typing import Final

from apricotpin.components.presence import const
from apricotpin.helpers import clocks
from apricotpin.messages.desired import ModelVersion
from apricotpin.messages.fleet import WeightsTarget

# Version numbers begin at one, and the first version is never declared.
UNDECLARED_VERSION: Final = 1


class DeclaredVersions:
    """Hold when the last versions of each model were declared.

    Times are on the boot-time clock, None where unknown.
    """

    __slots__ = ('_by_model',)

    def __init__(self) -> None:
        self._by_model: dict[str, dict[int, float | None]] = {}

    def record(self, target: ModelVersion, declared_for_s: float) -> None:
        """Record a version and its age in seconds, negative if unknown."""
        versions = self._by_model.setdefault(target.model, {})
        declared_at_s = clocks.boot_time_s() - declared_for_s
        versions[target.version] = (
            declared_at_s if declared_for_s >= 0 else None
        )
        for old in sorted(versions)[: -const.DECLARED_VERSIONS_MAX]:
            versions.pop(old)

    def newest(self, model: str) -> int:
        """Return the newest declared version of a model."""
        return max(self._by_model.get(model, {}), default=UNDECLARED_VERSION)

    def targets(self, models: dict[str, str]) -> list[WeightsTarget]:
        """Return the newest version of each service; models are by service."""
        return [
            self._target(service_name, model, self.newest(model))
            for service_name, model in models.items()
        ]

    def earlier(self, models: dict[str, str]) -> list[WeightsTarget]:
        """Return the declared versions before the newest of each service."""
        return [
            self._target(service_name, model, version)
            for service_name, model in models.items()
            for version in self._by_model.get(model, {})
            if version < self.newest(model)
        ]

    def _target(
        self,
        service_name: str,
        model: str,
        version: int,
    ) -> WeightsTarget:
        declared_at_s = self._by_model.get(model, {}).get(version)
        known_for_ms = -1
        if declared_at_s is not None:
            known_for_ms = int((clocks.boot_time_s() - declared_at_s) * 1000)
        return WeightsTarget(service_name, model, version, known_for_ms)
