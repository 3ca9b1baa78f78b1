"""Upload slots and held requests of the hosts that fetch from this one."""

from collections.abc import Callable

from apricotpin.components.weights import const
from apricotpin.core import Reply
from apricotpin.messages.weights import FetchChunk


class HeldRequest:
    """Describe a request that is held until its chunk arrives or a deadline."""

    __slots__ = ('deadline_s', 'message', 'reply')

    def __init__(
        self,
        message: FetchChunk,
        reply: Reply,
        deadline_s: float,
    ) -> None:
        self.message = message
        self.reply = reply
        self.deadline_s = deadline_s


class Uploads:
    """Track which children use an upload slot, and the held requests.

    A child is a host that fetches from this one, together with a stripe.
    """

    __slots__ = ('_held', '_slots', 'slots_max')

    def __init__(self) -> None:
        self.slots_max = 1
        # Time of the last request of each child, on the monotonic clock.
        self._slots: dict[tuple[str, int], float] = {}
        self._held: list[HeldRequest] = []

    def admit(self, child: tuple[str, int], now_s: float) -> bool:
        """Grant or renew a child's upload slot; return whether it has one."""
        if child not in self._slots:
            self._expire_idle_slots(now_s)
            if len(self._slots) >= self.slots_max:
                return False
        self._slots[child] = now_s
        return True

    def hold(self, message: FetchChunk, reply: Reply, now_s: float) -> None:
        """Hold a request for its wait_ms, at most HOLD_MAX_MS."""
        wait_ms = max(0, min(message.wait_ms, const.HOLD_MAX_MS))
        deadline_s = now_s + wait_ms / const.MS_PER_S
        self._held.append(HeldRequest(message, reply, deadline_s))

    def pop_overdue(self, now_s: float) -> list[HeldRequest]:
        """Remove and return the requests whose deadline has passed."""
        return self._pop_matching(lambda held: held.deadline_s <= now_s)

    def pop_for_chunk(
        self,
        model: str,
        version: str,
        index: int,
    ) -> list[HeldRequest]:
        """Remove and return the requests for a chunk."""
        return self._pop_matching(
            lambda held: (
                held.message.index == index
                and held.message.version == version
                and held.message.model == model
            ),
        )

    def _pop_matching(
        self, matches: Callable[[HeldRequest], bool]
    ) -> list[HeldRequest]:
        popped = [held for held in self._held if matches(held)]
        self._held = [held for held in self._held if not matches(held)]
        return popped

    def _expire_idle_slots(self, now_s: float) -> None:
        self._slots = {
            child: last_used_s
            for child, last_used_s in self._slots.items()
            if now_s - last_used_s < const.UPLOAD_SLOT_LIFETIME_S
        }
