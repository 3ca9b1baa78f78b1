"""Take what other services announce into the state of dispatch."""

from loguru import logger

from apricotpin.components.dispatch import budget, const
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.core import Reply
from apricotpin.helpers import clocks
from apricotpin.messages import desired, fleet, upstreams


class Beliefs:
    """Keep services, versions and counts up to date; no message is sent."""

    __slots__ = ('_state',)

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    def change_state(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Take the services of a desired state."""
        services = message.state.services
        self._state.services = {spec.name: spec for spec in services}
        reply.ok()

    def change_version(
        self,
        message: desired.ModelVersionChanged | desired.EarlierVersionDeclared,
        reply: Reply,
    ) -> None:
        """Take a declared version; one of unknown age counts as old."""
        age_s = message.declared_for_s
        if age_s < 0:
            age_s = self._state.limits.version_limit_s
        declared = self._state.targets.setdefault(message.target.model, {})
        declared[message.target.version] = clocks.boot_time_s() - age_s
        reply.ok()

    def count_hosts(
        self,
        message: fleet.EntryHostsChanged,
        reply: Reply,
    ) -> None:
        """Share retry budget and workers with the other entry hosts."""
        self._state.entry_hosts = len(message.hosts)
        self._state.near_hosts = sum(
            host.data_centre == self._state.data_centre
            for host in message.hosts
        )
        reply.ok()

    def note_paths(
        self, message: fleet.PathDelaysMeasured, reply: Reply
    ) -> None:
        """Learn over which paths requests may be sent."""
        known_s = self._state.paths_s
        self._state.paths_s = message.delays_s
        for place, delay_s in message.delays_s.items():
            was_slow = known_s.get(place, 0) > const.PATH_DELAY_MAX_S
            is_slow = delay_s > const.PATH_DELAY_MAX_S
            if was_slow != is_slow:
                logger.bind(
                    data_centre=place,
                    delay_ms=int(delay_s * 1000),
                ).info('path_slow' if is_slow else 'path_usual')
        reply.ok()

    def note_request(
        self,
        message: upstreams.CountRequest,
        reply: Reply,
    ) -> None:
        """Count a request of a caller."""
        window = self._state.window(message.service)
        budget.note_arrival(window, False, clocks.boot_time_s())
        reply.ok()
