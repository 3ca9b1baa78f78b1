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
# Hosts of a data centre that read the operator's records from the store; the
# others take them from these. The store does not compress: with 1,800 routes
# and a change each 1.6 s, each reader takes 230 KB/s of the 1.69 MB/s between
# two regions.
READERS: Final = 2
# How often a host that does not read checks whether it has become one that
# does: well within the 2 s in which a desired state has to be in force.
NOT_READING_PAUSE_S: Final = 0.5
# Pause between two fetches of a desired state from another entry host, so
# that a series of changes is not fetched one by one.
FETCH_PAUSE_S: Final = 0.5
# A host that reads itself takes a desired state from another one only when
# it has known of it for this long, and so does one that does not read from
# hosts of its data centre other than its reader.
PEER_AFTER_S: Final = 0.5
# When a host that does not read takes it from another data centre: both its
# reader and the other hosts nearby have had time to get it by then.
FAR_AFTER_S: Final = 1.0
# A host that others did not bring up to date reads the store itself, one of
# the data centre after the other.
READ_AFTER_S: Final = 1.5
READ_STEP_S: Final = 0.5
# A fetch is given up after FETCH_S in all. Once one has taken FETCH_SECOND_S,
# another host is asked as well.
FETCH_S: Final = 2.0
FETCH_SECOND_S: Final = 0.7
FETCHES_MAX: Final = 2
# How often a host that lacks a desired state looks for one to ask. Greetings
# that name it are repeated each 0.9 s and may be lost.
BEHIND_CHECK_S: Final = 0.15
# After the store turned this host away, peers are asked first for this time.
DIRECT_RETRY_S: Final = 1.5
PEERS_ASKED: Final = 2
PEER_TIMEOUT_S: Final = 0.7
# Ages of one version that differ by less are the same, but for the way.
AGE_STEP_S: Final = 0.1
# Offset that asks a peer for what it remembers.
REMEMBERED: Final = -2
