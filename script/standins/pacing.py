"""Token buckets as reservations: a caller learns how long to wait."""


class Bucket:
    """Hold how far a paced link or quota is committed.

    The burst is the time in seconds by which an idle bucket runs ahead.
    """

    __slots__ = ('_burst_s', '_free_s', 'per_s')

    def __init__(self, per_s: float, burst_s: float) -> None:
        self.per_s = per_s
        self._burst_s = burst_s
        self._free_s: float = 0

    def reserve(self, amount: float, now_s: float) -> float:
        """Commit an amount and return the seconds until it has passed."""
        if not self.per_s:
            return 0
        start_s = max(self._free_s, now_s - self._burst_s)
        self._free_s = start_s + amount / self.per_s
        return max(0, self._free_s - now_s)

    def admit(self, now_s: float) -> bool:
        """Commit one unit if the bucket holds it, else leave it unchanged."""
        if not self.per_s:
            return True
        unit_s = 1 / self.per_s
        # An idle bucket holds at least one unit, however low the rate is.
        start_s = max(self._free_s, now_s - max(self._burst_s, unit_s))
        if start_s + unit_s > now_s:
            return False
        self._free_s = start_s + unit_s
        return True
