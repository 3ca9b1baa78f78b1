"""Constants of the frontend component."""

from typing import Final

_KIB: Final = 1024
_MIB: Final = 1024 * _KIB

# Bodies are held in memory, since a request may be sent twice and a response
# that is not a stream is passed on only when it is complete.
REQUEST_BODY_MAX_BYTES: Final = 4 * _MIB
RESPONSE_BODY_MAX_BYTES: Final = 8 * _MIB
EVENT_MAX_BYTES: Final = _MIB
# Largest rest of a refused request's body that is read and discarded. Closing
# a connection with unread bytes resets it, so that the caller does not receive
# the refusal; reading more than this is not worth the time.
DISCARD_MAX_BYTES: Final = 8 * _MIB
REQUEST_ID_MAX_CHARACTERS: Final = 128

# Limit of callers' connections; the router's mailbox is sized for it.
CONNECTIONS_MAX: Final = 4096
# A caller that neither sends nor reads for this time is disconnected.
CALLER_TIMEOUT_S: Final = 30.0
BODY_READ_TIMEOUT_S: Final = 10.0

ATTEMPTS_MAX: Final = 4
# Largest number of times that a request waits because all its upstreams are in
# back-off.
BACKOFF_WAITS_MAX: Final = 4
# An upstream selected longer ago than this is selected again before the first
# byte is sent: if the process was paused since, the host may be leaving.
SELECTION_MAX_AGE_S: Final = 1.0
STREAM_DURATION_MAX_S: Final = 900.0
# The last chunk of a stream must follow its last event within this time, or
# the connection is not kept.
STREAM_END_TIMEOUT_S: Final = 0.05

# Limits for idle connections to upstreams: age, period of the check, and number
# per address. The age is short because upstreams and the network drop idle
# connections without notice.
IDLE_MAX_S: Final = 4.0
IDLE_CHECK_PERIOD_S: Final = 1.0
IDLE_PER_ADDRESS_MAX: Final = 8

# On a stop, new requests are still served for this time, in which load
# balancers detect the failed health check. A grace period below 10 s spends a
# tenth on it.
STOP_ACCEPT_MAX_S: Final = 1.0
STOP_ACCEPT_SHARE: Final = 0.1

SERVER_STOP_TIMEOUT_S: Final = 0.5
OUTCOME_LOOKUP_TIMEOUT_S: Final = 5.0
# Retries when the mailbox of the claims service is full. The mailbox empties
# quickly; an outcome that does not reach it leaves later requests with the same
# key with an unknown outcome.
REPORT_ATTEMPTS_MAX: Final = 50
REPORT_PAUSE_S: Final = 0.1
# How long, and at which period, a request with a key that is still running
# waits for the outcome. Batches of outcomes are appended to the log at least
# every 0.25 s, so most are known well within this time.
RUNNING_WAIT_MAX_S: Final = 1.0
RUNNING_POLL_PERIOD_S: Final = 0.2
# More than two messages for each connection, as for the router.
FRONTEND_MAILBOX_SIZE: Final = 16384

HEADER_REQUEST_ID: Final = 'X-Request-Id'
HEADER_MODEL_VERSION: Final = 'X-Model-Version'
CONTENT_TYPE_EVENTS: Final = 'text/event-stream'
CONTENT_TYPE_JSON: Final = 'application/json'
