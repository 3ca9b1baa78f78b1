"""Decide what calls of the worker without a response still permit."""

from typing import Final

from apricotpin.errors import ErrorKind, Failure

# The worker received nothing, or answered that the call has no effect.
_KINDS_WITHOUT_EFFECT: Final = frozenset(
    (
        ErrorKind.ENGINE_REFUSED,
        ErrorKind.ENGINE_UNAVAILABLE,
        ErrorKind.MAILBOX_FULL,
        ErrorKind.UNKNOWN_NAME,
    )
)


def is_outcome_unknown(failure: Failure) -> bool:
    """Return whether a failed call of the worker may still take effect."""
    return failure.kind not in _KINDS_WITHOUT_EFFECT
