"""Versions that this host holds, within the memory limit for weights."""

from apricotpin.components.weights.transfer import StripeProgress, Transfer
from apricotpin.messages.document import ModelTarget


class VersionStore:
    """Own the target version and the previous one, served in the meantime."""

    __slots__ = ('_serial', 'memory_bytes', 'previous', 'target')

    def __init__(self, memory_bytes: int) -> None:
        self.memory_bytes = memory_bytes
        self.target: Transfer | None = None
        self.previous: Transfer | None = None
        self._serial = 0

    def find(self, model: str, version: str) -> Transfer | None:
        """Return the transfer of a version, None if it is not held."""
        for transfer in (self.target, self.previous):
            if transfer is not None and transfer.matches(model, version):
                return transfer
        return None

    def has_target(self, target: ModelTarget) -> bool:
        """Return whether the target is this version with this digest."""
        return _is_transfer_of(self.target, target)

    def replace_target(
        self,
        target: ModelTarget,
        stripes: int,
        now_s: float,
    ) -> Transfer:
        """Make a version the target and return its transfer.

        A partial version that is superseded is freed at once. A return to the
        previous version reuses its chunks, so nothing is fetched again.
        """
        former = self.target
        kept = self.previous
        self._serial += 1
        if _is_transfer_of(kept, target):
            self.target = kept
            self.target.transfer_id = self._serial
            kept = None
        else:
            self.target = Transfer(self._serial, target, stripes, now_s)
        if former is not None and former.is_complete:
            kept = former
        self.previous = kept
        return self.target

    def restripe(self, stripes: int, now_s: float) -> None:
        """Divide the target into another number of stripes."""
        self._serial += 1
        self.target.transfer_id = self._serial
        self.target.active_fetches.clear()
        self.target.stripe_progress = [
            StripeProgress(now_s) for _ in range(stripes)
        ]

    def make_room(self) -> bool:
        """Free the previous version if needed; return if the target fits."""
        needed_bytes = self.target.size_bytes()
        if needed_bytes > self.memory_bytes:
            return False
        if needed_bytes + self._previous_bytes() > self.memory_bytes:
            self.previous = None
        return True

    def held_bytes(self) -> int:
        """Return the memory that the held chunks occupy."""
        return sum(
            len(chunk)
            for transfer in (self.target, self.previous)
            if transfer is not None
            for chunk in transfer.chunks
            if chunk is not None
        )

    def _previous_bytes(self) -> int:
        return self.previous.size_bytes() if self.previous else 0


def _is_transfer_of(transfer: Transfer | None, target: ModelTarget) -> bool:
    if transfer is None or not transfer.matches(target.name, target.version):
        return False
    return transfer.target.manifest_digest == target.manifest_digest
