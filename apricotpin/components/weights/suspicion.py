"""Suspected hosts, banned hosts and the back-off from the origin."""

from collections.abc import Callable

from apricotpin.components.weights import const
from apricotpin.helpers.backoff import jittered_backoff


class Backoff:
    """Track consecutive failures of a source and the end of its back-off.

    The end is on the monotonic clock.
    """

    __slots__ = ('failures', 'until_s')

    def __init__(self) -> None:
        self.failures = 0
        self.until_s: float = 0


class Suspicions:
    """Track suspected hosts, banned hosts and the back-off from the origin."""

    __slots__ = (
        '_banned',
        '_origin_backoff',
        '_origin_backoff_s',
        '_suspected',
        '_suspicion_s',
    )

    def __init__(self, random_unit: Callable[[], float]) -> None:
        self._banned: set[str] = set()
        self._suspected: dict[str, Backoff] = {}
        self._origin_backoff = Backoff()
        self._suspicion_s = jittered_backoff(
            const.SUSPICION_FIRST_S,
            const.SUSPICION_MAX_S,
            random_unit,
        )
        self._origin_backoff_s = jittered_backoff(
            const.ORIGIN_BACKOFF_FIRST_S,
            const.ORIGIN_BACKOFF_MAX_S,
            random_unit,
        )

    def suspect(self, host_id: str, now_s: float) -> None:
        """Exclude a host for a time that grows with its failures.

        Failures of several fetchers while the host is suspected count as one.
        """
        backoff = self._suspected.setdefault(host_id, Backoff())
        if now_s < backoff.until_s:
            return
        backoff.failures += 1
        backoff.until_s = now_s + self._suspicion_s(backoff.failures)

    def clear_suspicion(self, host_id: str) -> None:
        """Forget the failures of a host that sent a valid chunk."""
        self._suspected.pop(host_id, None)

    def ban(self, host_id: str) -> None:
        """Exclude a host that sent corrupt bytes until the next version."""
        self._banned.add(host_id)

    def clear_bans(self) -> None:
        """Clear the bans, because a new version has other bytes."""
        self._banned.clear()

    def excluded(self, now_s: float) -> frozenset[str]:
        """Return the hosts to which no requests are sent now."""
        suspected = {
            host_id
            for host_id, backoff in self._suspected.items()
            if now_s < backoff.until_s
        }
        return frozenset(suspected | self._banned)

    def banned(self) -> frozenset[str]:
        """Return the hosts banned for this version."""
        return frozenset(self._banned)

    def start_origin_backoff(self, now_s: float) -> None:
        """Start a back-off from the origin that grows with its failures."""
        if now_s < self._origin_backoff.until_s:
            return
        self._origin_backoff.failures += 1
        self._origin_backoff.until_s = now_s + self._origin_backoff_s(
            self._origin_backoff.failures
        )

    def clear_origin_backoff(self) -> None:
        """Forget the failures of the origin."""
        self._origin_backoff = Backoff()

    def is_origin_in_backoff(self, now_s: float) -> bool:
        """Return whether the back-off from the origin has not ended yet."""
        return now_s < self._origin_backoff.until_s
