"""Constants of the members component."""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 1.0
MISSED_HEARTBEATS: Final = 3
# The extra half period avoids suspecting a host whose heartbeat is delayed
# but not missed.
SUSPECT_AFTER_S: Final = HEARTBEAT_PERIOD_S * (MISSED_HEARTBEATS + 0.5)
HOSTS_PUBLISH_PERIOD_S: Final = 0.25

# Peers that receive a host's heartbeat in a round, and peers that an entry
# host pulls from in a round.
PEERS_PER_ROUND: Final = 2
# A peer is not called for this time after a call to it failed.
PEER_BACKOFF_S: Final = 5.0
PEER_TIMEOUT_S: Final = 1.0

HOST_LIST_TIMEOUT_S: Final = 2.0
HOST_LIST_PERIOD_S: Final = 1.0
# Part of the 16 KB/s for control traffic that reading the whole list may use.
# The read period therefore grows with the size of the list; between two
# reads, changes arrive through sync_hosts.
HOST_LIST_BYTES_PER_S: Final = 4000
# The period varies randomly by up to this fraction in both directions, so
# that hosts do not read the list at the same time.
HOST_LIST_JITTER: Final = 0.1
BACKOFF_FIRST_S: Final = 0.5
BACKOFF_MAX_S: Final = 5.0

# A suspected or leaving host is removed when no source has confirmed it for
# this time.
REMOVE_DOWN_AFTER_S: Final = 60.0
# A host with another state is removed when no source has confirmed it for
# this time.
REMOVE_LIVE_AFTER_S: Final = 600.0
# Removed hosts are remembered for this time, so that a record from a peer
# that has not removed them yet does not add them again.
TOMBSTONE_LIFETIME_S: Final = 600.0

# Records in one response to sync_hosts. 512 records are about 80 KB; a
# process that has just started knows 2,190 hosts after a few rounds.
SYNC_RECORDS_MAX: Final = 512
# Buckets whose digests a peer compares when it does not know the change
# number of the table that it pulls.
SYNC_BUCKETS: Final = 64
# Stands for a change number that is unknown because not all hosts of the
# peer have been pulled yet.
NO_CHANGE_NUMBER: Final = -1
# Every fourth pull of the second pull task goes to another data centre.
REMOTE_PULL_INTERVAL_ROUNDS: Final = 4
# Longest time for which a stopping process waits until the heartbeats that
# report its state `leaving` have ended.
LEAVE_NOTICE_TIMEOUT_S: Final = 1.5

NS_PER_MS: Final = 1000000
