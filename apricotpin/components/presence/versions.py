"""The declared versions of each model, and for how long they are known."""

from typing import Final

from apricotpin.components.presence import const
from apricotpin.helpers import clocks
from apricotpin.messages.desired import ModelVersion
from apricotpin.messages.fleet import WeightsTarget

# Versions are counted from one, and the first is never declared.
UNDECLARED_VERSION: Final = 1


class DeclaredVersions:
    """Hold when the last versions of each model were declared.

    Times are of the clock that counts suspensions, None where unknown.
    """

    __slots__ = ('_by_model',)

    def __init__(self) -> None:
        self._by_model: dict[str, dict[int, float | None]] = {}

    def note(self, target: ModelVersion, known_for_s: float) -> None:
        """Take a version and for how long it is known, negative if unknown."""
        versions = self._by_model.setdefault(target.model, {})
        since_s = clocks.boot_time_s() - known_for_s
        versions[target.version] = since_s if known_for_s >= 0 else None
        for old in sorted(versions)[: -const.VERSIONS_TOLD]:
            versions.pop(old)

    def newest(self, model: str) -> int:
        """Return the version that the workers of a model shall hold."""
        return max(self._by_model.get(model, {}), default=UNDECLARED_VERSION)

    def targets(self, models: dict[str, str]) -> list[WeightsTarget]:
        """Return the version that the workers of each service shall hold."""
        return [
            self._target(service_name, model, self.newest(model))
            for service_name, model in models.items()
        ]

    def earlier(self, models: dict[str, str]) -> list[WeightsTarget]:
        """Return the versions that the newest of each service replaced."""
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
        since_s = self._by_model.get(model, {}).get(version)
        known_for_ms = -1
        if since_s is not None:
            known_for_ms = int((clocks.boot_time_s() - since_s) * 1000)
        return WeightsTarget(service_name, model, version, known_for_ms)
