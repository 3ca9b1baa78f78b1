"""Requests of other hosts for chunks: upload slots and held requests."""

from collections.abc import Callable

from apricotpin.components.weights import const
from apricotpin.core import Reply
from apricotpin.messages.weights import FetchChunk


class HeldRequest:
    """Hold a request until its chunk arrives or its deadline passes."""

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
    """Hold the children that use an upload slot and the held requests."""

    __slots__ = ('_held', '_slots', 'slots_max')

    def __init__(self) -> None:
        self.slots_max = 1
        self._slots: dict[tuple[str, int], float] = {}
        self._held: list[HeldRequest] = []

    def admit(self, child: tuple[str, int], now_s: float) -> bool:
        """Take or keep the upload slot of a child's stripe if one is free."""
        if child not in self._slots:
            self._drop_unused(now_s)
            if len(self._slots) >= self.slots_max:
                return False
        self._slots[child] = now_s
        return True

    def hold(self, message: FetchChunk, reply: Reply, now_s: float) -> None:
        """Keep a request for at most the time that it allows."""
        wait_ms = max(0, min(message.wait_ms, const.HOLD_MS))
        deadline_s = now_s + wait_ms / const.MS_PER_S
        self._held.append(HeldRequest(message, reply, deadline_s))

    def take_overdue(self, now_s: float) -> list[HeldRequest]:
        """Remove and return requests whose deadline has passed."""
        return self._take(lambda held: held.deadline_s <= now_s)

    def take_for(
        self,
        model: str,
        version: str,
        index: int,
    ) -> list[HeldRequest]:
        """Remove and return requests for a chunk."""
        return self._take(
            lambda held: (
                held.message.index == index
                and held.message.version == version
                and held.message.model == model
            ),
        )

    def _take(self, wanted: Callable[[HeldRequest], bool]) -> list[HeldRequest]:
        taken = [held for held in self._held if wanted(held)]
        self._held = [held for held in self._held if not wanted(held)]
        return taken

    def _drop_unused(self, now_s: float) -> None:
        self._slots = {
            child: used_s
            for child, used_s in self._slots.items()
            if now_s - used_s < const.SLOT_LIFETIME_S
        }
