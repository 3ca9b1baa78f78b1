"""Constants of the configuration component."""

from typing import Final

CONFIG_STREAM: Final = 'config'
KIND_PUBLISH: Final = 'publish'
KIND_CHECKPOINT: Final = 'checkpoint'

# Accepted offset while no configuration has been accepted yet.
NO_OFFSET: Final = -1

# A read that the log never answers ends LOG_TIMEOUT_S after its long poll, and
# a back-off may follow. Their sum has to leave time to fetch a configuration
# within the 8 s in which it is to be in force.
LONG_POLL_MS: Final = 3000
LOG_TIMEOUT_S: Final = 2.0
BACKOFF_FIRST_S: Final = 0.2
BACKOFF_MAX_S: Final = 2.0
# Limits the request rate if the log responds to long polls at once.
EMPTY_READ_PAUSE_S: Final = 0.05

VERDICT_ACCEPTED: Final = 'accepted'
VERDICT_CONFLICT: Final = 'conflict'
VERDICT_INVALID: Final = 'invalid'
VERDICT_CHECKPOINT: Final = 'checkpoint'
# The record has been folded before.
VERDICT_SEEN: Final = 'seen'

TICK_S: Final = 1.0
MS_PER_S: Final = 1000
NS_PER_MS: Final = 1000000
# Agents read the log themselves when no entry host has replied for this time
# plus a random part of the jitter, which spreads the reads of all agents.
ENTRY_SILENCE_LIMIT_S: Final = 3.0
ENTRY_SILENCE_JITTER_S: Final = 2.0
# The log task asks for its next read again after this time.
READ_ORDER_TIMEOUT_S: Final = 30.0
PEER_TIMEOUT_S: Final = 2.0

# A checkpoint is written when the recovery point's age reaches this fraction
# of the retention, plus the second fraction for each rank, up to the maximum.
CHECKPOINT_AGE_FRACTION: Final = 0.5
CHECKPOINT_RANK_FRACTION: Final = 0.05
CHECKPOINT_AGE_FRACTION_MAX: Final = 0.9
# Without a recovery point, a checkpoint is written after the first delay plus
# the second for each rank.
MISSING_CHECKPOINT_DELAY_MS: Final = 2000
MISSING_CHECKPOINT_RANK_DELAY_MS: Final = 2000
# Time from the end of an append until the next one may start; a failed append
# is repeated then.
CHECKPOINT_RETRY_MS: Final = 5000
# An append that has not ended after this time is assumed to have failed.
CHECKPOINT_APPEND_TIMEOUT_MS: Final = 30000
