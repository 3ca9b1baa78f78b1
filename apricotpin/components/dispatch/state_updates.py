"""Update the dispatch state from the messages of other services."""

from loguru import logger

from apricotpin.components.dispatch import budget, const, health
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.core import Reply
from apricotpin.helpers import clocks
from apricotpin.messages import desired, fleet, upstreams


class StateUpdater:
    """Update services, versions, paths and counts; send no messages."""

    __slots__ = ('_state',)

    def __init__(self, state: DispatchState) -> None:
        self._state = state

    def update_services(
        self,
        message: desired.DesiredStateChanged,
        reply: Reply,
    ) -> None:
        """Replace the services by those of a new desired state."""
        services = message.state.services
        self._state.services = {spec.name: spec for spec in services}
        reply.ok()

    def record_version(
        self,
        message: desired.ModelVersionChanged | desired.EarlierVersionDeclared,
        reply: Reply,
    ) -> None:
        """Record when a version was declared.

        One declared at an unknown time is recorded as declared a version
        limit ago, so that its earlier versions are no longer allowed.
        """
        age_s = message.declared_for_s
        if age_s < 0:
            age_s = self._state.limits.version_limit_s
        versions = self._state.declared_versions.setdefault(
            message.target.model,
            {},
        )
        versions[message.target.version] = clocks.boot_time_s() - age_s
        reply.ok()

    def update_host_counts(
        self,
        message: fleet.EntryHostsChanged,
        reply: Reply,
    ) -> None:
        """Update the numbers of hosts that share the budget and upstreams."""
        self._state.entry_host_count = len(message.hosts)
        self._state.local_host_count = sum(
            host.data_centre == self._state.data_centre
            for host in message.hosts
        )
        reply.ok()

    def update_path_delays(
        self, message: fleet.PathDelaysMeasured, reply: Reply
    ) -> None:
        """Replace the path delays; log each path that became slow or usual."""
        previous_s = self._state.path_delays_s
        self._state.path_delays_s = message.delays_s
        for data_centre, delay_s in message.delays_s.items():
            was_slow = previous_s.get(data_centre, 0) > const.PATH_DELAY_MAX_S
            is_slow = delay_s > const.PATH_DELAY_MAX_S
            if was_slow != is_slow:
                logger.bind(
                    data_centre=data_centre,
                    delay_ms=int(delay_s * 1000),
                ).info('path_slow' if is_slow else 'path_usual')
        reply.ok()

    def report_worker_state(
        self, message: upstreams.GetWorkerState, reply: Reply
    ) -> None:
        """Reply whether a start of a worker has crashed."""
        upstream = self._state.upstreams.get(message.instance_id)
        reply.ok(
            health.find_worker_state(
                upstream, message.started_ms, message.since_s
            )
        )

    def count_request(
        self,
        message: upstreams.CountRequest,
        reply: Reply,
    ) -> None:
        """Count a request of a caller towards the retry budget."""
        window = self._state.get_window(message.service)
        budget.record_request(window, False, clocks.boot_time_s())
        reply.ok()
