"""Constants of the claims component."""

from typing import Final

# Largest assumed difference between the clocks of callers and entry hosts.
CLOCK_SKEW_MAX_S: Final = 5.0

# Shortest time between two appends of a partition. The log handles several
# hundred appends per second for the whole fleet; with this spacing, 64
# partitions cause at most 256 per second.
APPEND_SPACING_S: Final = 0.25
BATCH_RECORDS_MAX: Final = 256
BATCH_BYTES_MAX: Final = 1048576
# Commands of one partition that wait for an append, and the same number of
# lookups that wait for a read.
WAITING_MAX: Final = 2048
# Larger bodies are left out of the record of an outcome.
OUTCOME_BODY_BYTES_MAX: Final = 16384

# Open requests of this process and of peers; each holds a reply.
OPEN_REQUESTS_MAX: Final = 4096
# Final records kept for a later append, which are 16 MiB if all bodies have
# the largest size.
UNRECORDED_RECORDS_MAX: Final = 1024
CONCURRENT_FORWARDS_MAX: Final = 512
IDLE_CLIENTS_MAX: Final = 32

# Fractions of claim_timeout_s. The owner replies to a forwarded request before
# the entry host that sent it gives up.
OWNER_DEADLINE_RATIO: Final = 0.7
REQUESTER_DEADLINE_RATIO: Final = 0.9

TICK_S: Final = 0.1
GAUGE_PERIOD_S: Final = 5.0
# Time between two removals of expired claims, as a fraction of key_lifetime_s.
EXPIRY_INTERVAL_RATIO: Final = 0.0625
BACKOFF_FIRST_S: Final = 0.1
BACKOFF_MAX_S: Final = 5.0
DRAIN_TIMEOUT_S: Final = 2.0

# The verdict on a claim is "unknown" if its holder has not reported an outcome
# within the timeout of the service plus this margin.
HOLDER_MARGIN_S: Final = 5.0
SERVICE_TIMEOUT_DEFAULT_S: Final = 30.0

# Number of tries to append the Closed record of an attempt whose caller was
# refused. If all fail, later requests with the key get "unknown" instead of
# "not_run"; the action never runs in either case.
CLOSING_TRIES_MAX: Final = 5

ATTEMPT_ID_BYTES: Final = 8
OWNER_TOKEN_BYTES: Final = 8
# Hexadecimal characters of the request digest in a claim: 128 bits, enough to
# distinguish requests.
DIGEST_CHARS: Final = 32

LOG_TIMEOUT_S: Final = 1.0
MAILBOX_SIZE: Final = 8192
