"""Constants of the follower component."""

from typing import Final

# The store answers a read for changes after this time, so that a connection
# that went silent is found within it.
CHANGES_WAIT_S: Final = 4.0
# Workers report about every 1.2 s and a leaving one must be avoided 2 s after
# its notice, so the list is read well within that.
UPSTREAMS_PAUSE_S: Final = 0.85
# Entry hosts are greeted by each other, so their records are read rarely.
HOSTS_PAUSE_S: Final = 6.0
# Keeps a quick series of changes from becoming a read for each.
CHANGES_PAUSE_S: Final = 0.1
# Pauses after a failed read, growing from the first to the longest.
RETRY_FIRST_S: Final = 0.15
RETRY_LONGEST_S: Final = 0.6
# A read ends within the wait and the client's own time limits.
READ_TIMEOUT_S: Final = 8.0
# The platform restores entries that lapsed while its store was away within
# about two seconds of its return.
LAPSE_S: Final = 2.5
LAPSE_CHECK_S: Final = 0.5
# After the store turned this host away, peers are asked first for this time.
DIRECT_RETRY_S: Final = 1.5
PEERS_ASKED: Final = 2
PEER_TIMEOUT_S: Final = 0.7
# Offset that asks a peer for what it remembers.
REMEMBERED: Final = -2
