"""Sources of weights: the origin, other entry hosts and local agents."""

import time

from loguru import logger

from apricotpin.components.relay import const, decisions
from apricotpin.components.relay.agents import AgentSources
from apricotpin.components.relay.events import FetchJob
from apricotpin.components.relay.state import CachedVersion, FetchScope
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.stripes import STRIPE_COUNT, source_key, stripe_of
from apricotpin.messages.desired import DesiredState, Engine, ModelVersion
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.fleet import LoadReport


class Sources:
    """Track the sources of weights and their back-off after failures."""

    __slots__ = (
        'no_piece_since_s',
        '_agents',
        '_backoff_until_s',
        '_hosts',
        '_origin',
        '_origin_data_centre',
        '_own_host',
        '_primary_stripes',
    )

    def __init__(self, own_host: EntryHost) -> None:
        self._hosts: tuple[EntryHost, ...] = (own_host,)
        # Stripes by version, cached since each load report needs them.
        self._primary_stripes: dict[tuple[str, int], tuple[int, ...]] = {}
        self._own_host = own_host
        self._origin = ''
        self._origin_data_centre = ''
        self._agents = AgentSources(own_host.data_centre)
        self._backoff_until_s: dict[str, float] = {}
        # Since when each source has delivered no piece, by address.
        self.no_piece_since_s: dict[str, float] = {}

    def apply_state(self, state: DesiredState) -> None:
        """Record the origin's address and which model each service runs."""
        self._agents.apply_state(state)
        for spec in state.services:
            if spec.origin:
                self._origin = spec.origin
                self._origin_data_centre = spec.data_centre
        self._primary_stripes.clear()

    def engine_of(self, model: str) -> Engine | None:
        """Return what the desired state says of a model, None if nothing."""
        return self._agents.engine_of(model)

    def record_report(
        self,
        report: LoadReport,
        now_s: float,
    ) -> ModelVersion | None:
        """Record a load report; return its version if that is complete."""
        return self._agents.record_report(report, now_s)

    def update_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        self._hosts = hosts
        self._primary_stripes.clear()

    def primary_stripes(self, target: ModelVersion) -> tuple[int, ...]:
        """Return the stripes that this host fetches for its data centre.

        The other hosts of the data centre fetch them from this one.
        """
        key = (target.model, target.version)
        stripes = self._primary_stripes.get(key)
        if stripes is None:
            stripes = tuple(
                stripe
                for stripe in range(STRIPE_COUNT)
                if self._is_primary(source_key(*key, stripe))
            )
            self._primary_stripes[key] = stripes
        return stripes

    def next_job(self, cached: CachedVersion, index: int) -> FetchJob | None:
        """Return the job to fetch a piece now.

        A piece that nobody has requested is fetched from agents only; the job
        is None if none can be asked.
        """
        now_s = time.monotonic()
        agents = self._agents.with_version(cached.model, cached.version, now_s)
        sources = self._order_sources(cached, index, agents)
        is_piece = index != const.MANIFEST_INDEX
        local_only = (
            is_piece and cached.scope_of(index) is not FetchScope.ALL_SOURCES
        )
        usable = [
            candidate
            for candidate in sources
            if self._backoff_until_s.get(candidate, 0) < now_s
            and (candidate in agents or not local_only)
        ]
        if local_only and not usable:
            return None
        source = usable[0] if usable else sources[0]
        wait_ms = 0
        if decisions.may_ask_to_wait(sources, source):
            wait_ms = const.FETCH_WAIT_MS
        return FetchJob(
            index,
            source,
            self._origin,
            wait_ms,
            '' if is_piece else cached.manifest.doubted_digest,
        )

    def record_failure(
        self, source: str, may_wait: bool, failure: Failure
    ) -> None:
        """Back off from a source unless it only waits for the origin itself."""
        now_s = time.monotonic()
        is_waiting = may_wait and failure.kind is ErrorKind.CHUNK_NOT_YET
        since_s = self.no_piece_since_s.setdefault(source, now_s)
        if not is_waiting or now_s - since_s > const.SOURCE_STALL_TIMEOUT_S:
            self.back_off(source, failure)

    def record_success(self, source: str) -> None:
        self.no_piece_since_s.pop(source, None)

    def back_off(self, source: str, failure: Failure) -> None:
        """Ask other sources first until the back-off ends."""
        now_s = time.monotonic()
        self.no_piece_since_s.pop(source, None)
        is_backed_off = self._backoff_until_s.get(source, 0) > now_s
        backoff_s = const.SOURCE_BACKOFF_S
        if source == const.ORIGIN:
            backoff_s = const.ORIGIN_BACKOFF_S
        self._backoff_until_s[source] = now_s + backoff_s
        if is_backed_off:
            return
        logger.bind(
            source=source or 'origin',
            error=repr(failure),
        ).warning('piece_not_fetched')

    def _order_sources(
        self,
        cached: CachedVersion,
        index: int,
        agents: tuple[str, ...],
    ) -> list[str]:
        return decisions.order_sources(
            self._own_host,
            self._hosts,
            self._origin_data_centre,
            source_key(cached.model, cached.version, stripe_of(index)),
            decisions.rotate_agents(agents, index),
        )

    def _is_primary(self, key: str) -> bool:
        ordered = decisions.order_hosts(
            self._hosts, self._origin_data_centre, key
        )
        return decisions.is_primary(self._own_host, ordered)
