"""Constants of the peer_api component."""

from typing import Final

# fetch_chunk and claim, whose replies may be held back, finish well within
# this time.
DISPATCH_TIMEOUT_S: Final = 15.0
# Idle connections are closed after this time, since a peer may stop without
# closing its own end.
IDLE_TIMEOUT_S: Final = 120.0
