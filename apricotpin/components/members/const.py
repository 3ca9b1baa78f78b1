"""Constants of the members component."""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 1.0
MISSED_HEARTBEATS: Final = 3
# Half a period of tolerance keeps a heartbeat that is merely delayed from
# counting as the third one missed.
SUSPECT_AFTER_S: Final = HEARTBEAT_PERIOD_S * (MISSED_HEARTBEATS + 0.5)
HOSTS_PUBLISH_PERIOD_S: Final = 0.25

PEERS_PER_ROUND: Final = 2
# A peer that did not answer is passed over for this time.
PEER_BACKOFF_S: Final = 5.0
PEER_TIMEOUT_S: Final = 1.0

HOST_LIST_TIMEOUT_S: Final = 2.0
HOST_LIST_PERIOD_S: Final = 1.0
# Reading the whole list may use this much of the 16 KB/s for control, so
# the period grows with the list; sync_hosts carries changes in between.
HOST_LIST_BYTES_PER_S: Final = 4000
# Reads are spread over this share of the period, on both sides of it.
HOST_LIST_JITTER: Final = 0.1
BACKOFF_MIN_S: Final = 0.5
BACKOFF_MAX_S: Final = 5.0

# A suspected or leaving host that no source names is removed after this time.
REMOVE_DOWN_AFTER_S: Final = 60.0
# A live record of a host that no source confirms is removed after this time.
REMOVE_LIVE_AFTER_S: Final = 600.0
# Removed hosts are remembered, so that a slow peer does not bring them back.
TOMBSTONE_LIFETIME_S: Final = 600.0

# Records in one answer; 512 records are about 80 KB, so that a process that
# has just started knows 2,190 hosts after a few rounds.
SYNC_RECORDS_MAX: Final = 512
# Buckets that processes compare when they meet for the first time.
SYNC_BUCKETS: Final = 64
# Position of a process that has not pulled all hosts of a peer yet.
NO_CHANGE_NUMBER: Final = -1
# Every fourth pull of the second worker goes to another data centre.
REMOTE_PULL_INTERVAL_ROUNDS: Final = 4
# Time that a stopping process waits for peers to hear that it leaves.
LEAVE_NOTICE_TIMEOUT_S: Final = 1.5

NS_PER_MS: Final = 1000000
