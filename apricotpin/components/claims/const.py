"""Constants of the claims component."""

from typing import Final

# Clocks of callers and entry hosts differ by at most this much.
CLOCK_SKEW_S: Final = 5.0

# The log takes several hundred appends a second for the whole fleet; 64
# partitions that append at this spacing cause at most 256 a second.
APPEND_SPACING_S: Final = 0.25
BATCH_RECORDS_MAX: Final = 256
BATCH_BYTES_MAX: Final = 1048576
WAITING_MAX: Final = 2048
OUTCOME_BODY_BYTES_MAX: Final = 16384

# Requests of callers and peers held at the same time; each holds a reply.
REQUESTS_MAX: Final = 4096
# Outcomes kept for a later append; with whole bodies these are 16 MiB.
UNRECORDED_MAX: Final = 1024
FORWARDS_MAX: Final = 512
IDLE_CLIENTS_MAX: Final = 32

# Shares of claim_timeout_s: a forwarded request is answered by the owner
# before the entry host that asked gives up.
OWNER_DEADLINE_RATIO: Final = 0.7
REQUESTER_DEADLINE_RATIO: Final = 0.9

TICK_S: Final = 0.1
FIGURES_PERIOD_S: Final = 5.0
# Share of key_lifetime_s between two removals of expired claims.
SWEEP_RATIO: Final = 0.0625
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 5.0
DRAIN_TIMEOUT_S: Final = 2.0

# A claim whose holder does not report within the timeout of its service and
# this margin is answered as outcome unknown.
HOLDER_MARGIN_S: Final = 5.0
SERVICE_TIMEOUT_DEFAULT_S: Final = 30.0

# Tries to close an attempt that was refused to its caller. Nothing is lost if
# they fail: the key is answered as outcome unknown instead of not run.
CLOSING_TRIES_MAX: Final = 5

ATTEMPT_ID_BYTES: Final = 8
OWNER_TOKEN_BYTES: Final = 8
# 128 bits of the request digest tell two requests apart.
DIGEST_CHARS: Final = 32

LOG_TIMEOUT_S: Final = 1.0
MAILBOX_SIZE: Final = 8192
