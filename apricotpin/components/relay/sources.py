"""Where the origin, the entry hosts and the agents with weights are."""

import time

from loguru import logger

from apricotpin.components.relay import const, decisions
from apricotpin.components.relay.events import Fetch
from apricotpin.components.relay.holders import Holders
from apricotpin.components.relay.state import Demand, Holding
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.stripes import STRIPE_COUNT, source_key, stripe_of
from apricotpin.messages.desired import DesiredState, ModelVersion
from apricotpin.messages.feeds import EntryHost
from apricotpin.messages.fleet import LoadReport


class Sources:
    """Hold who may be asked for weights, and who failed lately."""

    __slots__ = (
        'waiting',
        '_holders',
        '_hosts',
        '_led',
        '_origin',
        '_origin_place',
        '_own',
        '_suspects',
    )

    def __init__(self, own: EntryHost) -> None:
        self._hosts: tuple[EntryHost, ...] = (own,)
        # Stripes by version; each report asks, so they are not computed anew.
        self._led: dict[tuple[str, int], tuple[int, ...]] = {}
        self._own = own
        self._origin = ''
        self._origin_place = ''
        self._holders = Holders(own.data_centre)
        self._suspects: dict[str, float] = {}
        # Since when each source has given nothing.
        self.waiting: dict[str, float] = {}

    def change_state(self, state: DesiredState) -> None:
        """Learn where the origin is, and which service runs which model."""
        self._holders.change_state(state)
        for spec in state.services:
            if spec.origin:
                self._origin = spec.origin
                self._origin_place = spec.data_centre
        self._led.clear()

    def take_report(
        self,
        report: LoadReport,
        now_s: float,
    ) -> ModelVersion | None:
        """Take an agent's report; return what its worker holds whole."""
        return self._holders.take(report, now_s)

    def change_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        """Learn which entry hosts are there."""
        self._hosts = hosts
        self._led.clear()

    def led_stripes(self, target: ModelVersion) -> tuple[int, ...]:
        """Return the stripes that this host fetches for its data centre."""
        key = (target.model, target.version)
        led = self._led.get(key)
        if led is None:
            led = tuple(
                stripe
                for stripe in range(STRIPE_COUNT)
                if self._leads(source_key(*key, stripe))
            )
            self._led[key] = led
        return led

    def next_fetch(self, holding: Holding, index: int) -> Fetch | None:
        """Return from whom to fetch a piece now.

        One that nobody asked for is taken from agents alone, or not at all.
        """
        now_s = time.monotonic()
        agents = self._holders.of_version(holding.model, holding.version, now_s)
        sources = self._order(holding, index, agents)
        is_piece = index != const.MANIFEST_INDEX
        near_only = is_piece and holding.demand_of(index) is not Demand.ALL
        usable = [
            one
            for one in sources
            if self._suspects.get(one, 0) < now_s
            and (one in agents or not near_only)
        ]
        if near_only and not usable:
            return None
        source = usable[0] if usable else sources[0]
        wait_ms = 0
        if decisions.may_wait(sources, source):
            wait_ms = const.FETCH_WAIT_MS
        return Fetch(index, source, self._origin, wait_ms)

    def note_failed(self, source: str, waited: bool, failure: Failure) -> None:
        """Suspect a source, unless it only waits for the origin itself."""
        now_s = time.monotonic()
        waits = waited and failure.kind is ErrorKind.CHUNK_NOT_YET
        since_s = self.waiting.setdefault(source, now_s)
        if not waits or now_s - since_s > const.SOURCE_STALL_S:
            self.suspect(source, failure)

    def note_gave(self, source: str) -> None:
        """Note that a source gave a piece."""
        self.waiting.pop(source, None)

    def suspect(self, source: str, failure: Failure) -> None:
        """Ask others first for some time."""
        now_s = time.monotonic()
        self.waiting.pop(source, None)
        known = self._suspects.get(source, 0) > now_s
        rest_s = const.SUSPECT_S
        if source == const.ORIGIN:
            rest_s = const.ORIGIN_SUSPECT_S
        self._suspects[source] = now_s + rest_s
        if known:
            return
        logger.bind(
            source=source or 'origin',
            error=repr(failure),
        ).warning('piece_not_fetched')

    def _order(
        self,
        holding: Holding,
        index: int,
        agents: tuple[str, ...],
    ) -> list[str]:
        return decisions.sources_of(
            self._own,
            self._hosts,
            self._origin_place,
            source_key(holding.model, holding.version, stripe_of(index)),
            decisions.share_out(agents, index),
        )

    def _leads(self, key: str) -> bool:
        chain = decisions.chain_of(self._hosts, self._origin_place, key)
        return decisions.leads(self._own, chain)
