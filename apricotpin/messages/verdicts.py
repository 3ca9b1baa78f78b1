"""Verdicts of the owner of an idempotency key on a claim."""

from typing import Final

# Only "granted" allows its receiver to run the request.
GRANTED: Final = 'granted'
RUNNING: Final = 'running'
# Another attempt held the claim and did not report an outcome in time.
UNKNOWN: Final = 'unknown'
NOT_RUN: Final = 'not_run'
DONE: Final = 'done'
REUSED: Final = 'reused'
UNAVAILABLE: Final = 'unavailable'
NOT_OWNER: Final = 'not_owner'
# Verdicts that the local claims service turns into failures.
ABSENT: Final = 'absent'
INVALID: Final = 'invalid'
EXPIRED: Final = 'expired'

# Detail of "done" if the body was too large to be recorded.
DETAIL_BODY_OMITTED: Final = 'body_omitted'
