"""Constants of the configuration component."""

from typing import Final

CONFIG_STREAM: Final = 'config'
KIND_PUBLISH: Final = 'publish'
KIND_CHECKPOINT: Final = 'checkpoint'

# Offset that stands for "no configuration has been accepted yet".
NO_OFFSET: Final = -1

# A long poll is shorter than the idle limit of common load balancers.
LONG_POLL_MS: Final = 10000
LOG_TIMEOUT_S: Final = 2.0
BACKOFF_MIN_S: Final = 0.2
BACKOFF_MAX_S: Final = 5.0
# Keeps the request rate low when the log answers long polls at once.
EMPTY_READ_PAUSE_S: Final = 0.05

VERDICT_ACCEPTED: Final = 'accepted'
VERDICT_CONFLICT: Final = 'conflict'
VERDICT_INVALID: Final = 'invalid'
VERDICT_CHECKPOINT: Final = 'checkpoint'
VERDICT_SEEN: Final = 'seen'

TICK_S: Final = 1.0
MS_PER_S: Final = 1000
NS_PER_MS: Final = 1000000
# Agents read the log themselves when no entry host answered for this time;
# the jitter keeps them from reading all at once.
ENTRY_SILENCE_LIMIT_S: Final = 3.0
ENTRY_SILENCE_JITTER_S: Final = 2.0
# The follower asks for an order again after this time.
READ_ORDER_TIMEOUT_S: Final = 30.0
PEER_TIMEOUT_S: Final = 2.0

# Shares of the retention after which a checkpoint is written, by rank.
CHECKPOINT_AGE_FRACTION: Final = 0.5
CHECKPOINT_RANK_FRACTION: Final = 0.05
CHECKPOINT_AGE_FRACTION_MAX: Final = 0.9
# Times after which a missing checkpoint is written, by rank.
MISSING_CHECKPOINT_DELAY_MS: Final = 2000
MISSING_CHECKPOINT_RANK_DELAY_MS: Final = 2000
# A checkpoint whose append failed is tried again after this time.
CHECKPOINT_RETRY_MS: Final = 5000
# An append that has not ended after this time is taken for lost.
CHECKPOINT_APPEND_TIMEOUT_MS: Final = 30000
