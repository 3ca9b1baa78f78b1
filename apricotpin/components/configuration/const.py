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
FIRST_PAUSE_S: Final = 0.2
LONGEST_PAUSE_S: Final = 5.0
# Keeps the request rate low when the log answers long polls at once.
EMPTY_PAUSE_S: Final = 0.05

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
AGENT_QUIET_S: Final = 3.0
AGENT_QUIET_JITTER_S: Final = 2.0
# The follower asks for an order again after this time.
ORDER_TIMEOUT_S: Final = 30.0
PEER_TIMEOUT_S: Final = 2.0

# Shares of the retention after which a checkpoint is written, by rank.
CHECKPOINT_SHARE: Final = 0.5
CHECKPOINT_RANK_SHARE: Final = 0.05
CHECKPOINT_LAST_SHARE: Final = 0.9
# Times after which a missing checkpoint is written, by rank.
REPAIR_FIRST_MS: Final = 2000
REPAIR_STEP_MS: Final = 2000
# A checkpoint whose append failed is tried again after this time.
CHECKPOINT_RETRY_MS: Final = 5000
# An append that has not ended after this time is taken for lost.
WRITE_LIMIT_MS: Final = 30000
