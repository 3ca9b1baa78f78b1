"""Rate limiter that reserves capacity and returns the time to wait for it."""


class TokenBucket:
    """Track until when the capacity of a link or quota is reserved.

    After an idle time, the capacity of the last burst_s seconds is available
    at once. A rate of 0 means no limit.
    """

    __slots__ = ('_burst_s', '_committed_until_s', 'rate_per_s')

    def __init__(self, rate_per_s: float, burst_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._committed_until_s: float = 0

    def reserve(self, amount: float, now_s: float) -> float:
        """Reserve an amount and return the seconds until it has passed."""
        if not self.rate_per_s:
            return 0
        start_s = max(self._committed_until_s, now_s - self._burst_s)
        self._committed_until_s = start_s + amount / self.rate_per_s
        return max(0, self._committed_until_s - now_s)

    def admit(self, now_s: float) -> bool:
        """Reserve one unit and return whether it was available at once.

        Without an available unit, the bucket stays unchanged.
        """
        if not self.rate_per_s:
            return True
        unit_s = 1 / self.rate_per_s
        # One unit is always available after an idle time, also where burst_s
        # holds less than one unit at a low rate.
        start_s = max(
            self._committed_until_s, now_s - max(self._burst_s, unit_s)
        )
        if start_s + unit_s > now_s:
            return False
        self._committed_until_s = start_s + unit_s
        return True
