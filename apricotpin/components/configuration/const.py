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
