"""Growing, jittered pauses between retries."""

from collections.abc import Callable

_GROWTH_FACTOR = 2.0
_MAX_EXPONENT = 30


def jittered_backoff(
    first_s: float,
    longest_s: float,
    random_unit: Callable[[], float],
) -> Callable[[int], float]:
    """Return a function from the number of failures to a pause in seconds.

    Full jitter over the upper half keeps hosts that failed together from
    retrying together.
    """

    def pause_s(failures: int) -> float:
        exponent = min(max(failures - 1, 0), _MAX_EXPONENT)
        ceiling_s = min(longest_s, first_s * _GROWTH_FACTOR**exponent)
        return ceiling_s * (1 + random_unit()) / 2

    return pause_s
