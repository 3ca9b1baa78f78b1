"""Exponential back-off with jitter."""

from collections.abc import Callable

_GROWTH_FACTOR = 2.0
_MAX_EXPONENT = 30


def jittered_backoff(
    first_s: float,
    max_s: float,
    random_unit: Callable[[], float],
) -> Callable[[int], float]:
    """Return a function from the number of failures to a back-off in seconds.

    The back-off is drawn from the upper half of the exponential interval, so
    that hosts which failed at the same time do not retry at the same time.
    """

    def backoff_s(failures: int) -> float:
        exponent = min(max(failures - 1, 0), _MAX_EXPONENT)
        ceiling_s = min(max_s, first_s * _GROWTH_FACTOR**exponent)
        return ceiling_s * (1 + random_unit()) / 2

    return backoff_s
