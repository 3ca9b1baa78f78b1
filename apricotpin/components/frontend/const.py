"""Constants of the frontend component."""

from typing import Final

_KIB: Final = 1024
_MIB: Final = 1024 * _KIB

# Bodies are held in memory, since a request may be sent twice and an answer
# is passed on only when it is whole.
REQUEST_BODY_MAX_BYTES: Final = 4 * _MIB
ANSWER_BODY_MAX_BYTES: Final = 8 * _MIB
EVENT_MAX_BYTES: Final = _MIB
# What is left of a refused body is read and dropped, since a connection that
# closes on unread bytes is reset and the caller never sees the refusal. More
# than this is not worth reading.
DISCARD_MAX_BYTES: Final = 8 * _MIB
REQUEST_ID_MAX_CHARACTERS: Final = 128

# Callers' connections; the router's mailbox has room for all of them.
CONNECTIONS_MAX: Final = 4096
# A caller that neither sends nor reads for this time is disconnected.
CALLER_SILENT_S: Final = 30.0
BODY_READ_S: Final = 10.0

ATTEMPTS_MAX: Final = 4
# Waits for a suspected upstream when a request has no other.
RESTING_WAITS_MAX: Final = 4
# A choice of upstream older than this is made again before the first byte: a
# process that was paused in between may send to a host that has left.
FRESH_S: Final = 1.0
STREAM_MAX_S: Final = 900.0
# The last chunk of an answer follows its last event at once, or the
# connection is not kept.
STREAM_END_S: Final = 0.05

# Upstreams and the network drop idle connections without notice.
IDLE_MAX_S: Final = 4.0
IDLE_CHECK_S: Final = 1.0
IDLE_PER_ADDRESS: Final = 8

# Balancers see the failed health check in this time, while new requests are
# still served. Short grace periods spend a tenth on it.
ANNOUNCE_S: Final = 1.0
ANNOUNCE_SHARE: Final = 0.1

DRAINED_MARGIN_S: Final = 0.5
OUTCOME_LOOKUP_S: Final = 5.0
# The mailbox of the claims service empties quickly; an outcome that does not
# reach it leaves later repeats of the key with an unknown outcome.
REPORT_TRIES: Final = 50
REPORT_PAUSE_S: Final = 0.1
# A repeat of a running key waits for the outcome: batches of outcomes are
# appended at least every 0.25 s, so most are known well within this time.
RUNNING_WAIT_S: Final = 1.0
RUNNING_PAUSE_S: Final = 0.2
# More than two messages for each connection, as in the router.
FRONTEND_MAILBOX_SIZE: Final = 16384

HEADER_REQUEST_ID: Final = 'X-Request-Id'
HEADER_MODEL_VERSION: Final = 'X-Model-Version'
CONTENT_TYPE_EVENTS: Final = 'text/event-stream'
CONTENT_TYPE_JSON: Final = 'application/json'
