"""Failed sources and the pauses that they get."""

from collections.abc import Callable

from apricotpin.components.weights import const
from apricotpin.helpers.backoff import jittered_backoff


class Pause:
    """Hold how often something failed in a row and until when to wait."""

    __slots__ = ('failures', 'until_s')

    def __init__(self) -> None:
        self.failures = 0
        self.until_s: float = 0


class Suspicions:
    """Hold suspected hosts, banned hosts and the pause of the origin."""

    __slots__ = ('_banned', '_hosts', '_origin', '_origin_pause', '_pause')

    def __init__(self, random_unit: Callable[[], float]) -> None:
        self._banned: set[str] = set()
        self._hosts: dict[str, Pause] = {}
        self._origin = Pause()
        self._pause = jittered_backoff(
            const.SUSPECT_FIRST_S,
            const.SUSPECT_LONGEST_S,
            random_unit,
        )
        self._origin_pause = jittered_backoff(
            const.ORIGIN_FIRST_S,
            const.ORIGIN_LONGEST_S,
            random_unit,
        )

    def suspect(self, host_id: str, now_s: float) -> None:
        """Exclude a host for a time that grows with its failures.

        Failures of several lanes during one suspicion count as one.
        """
        pause = self._hosts.setdefault(host_id, Pause())
        if now_s < pause.until_s:
            return
        pause.failures += 1
        pause.until_s = now_s + self._pause(pause.failures)

    def trust(self, host_id: str) -> None:
        """Forget the failures of a host that delivered."""
        self._hosts.pop(host_id, None)

    def ban(self, host_id: str) -> None:
        """Exclude a host for the rest of the version."""
        self._banned.add(host_id)

    def lift_bans(self) -> None:
        """Forget bans, since a new version has other bytes."""
        self._banned.clear()

    def excluded(self, now_s: float) -> frozenset[str]:
        """Return the hosts that get no requests now."""
        suspected = {
            host_id
            for host_id, pause in self._hosts.items()
            if now_s < pause.until_s
        }
        return frozenset(suspected | self._banned)

    def banned(self) -> frozenset[str]:
        """Return the hosts banned for this version."""
        return frozenset(self._banned)

    def pause_origin(self, now_s: float) -> None:
        """Leave the origin alone for a time that grows with its failures."""
        if now_s < self._origin.until_s:
            return
        self._origin.failures += 1
        self._origin.until_s = now_s + self._origin_pause(self._origin.failures)

    def trust_origin(self) -> None:
        """Forget the failures of the origin."""
        self._origin = Pause()

    def origin_paused(self, now_s: float) -> bool:
        """Tell whether the origin is left alone now."""
        return now_s < self._origin.until_s
