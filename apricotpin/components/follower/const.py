"""Constants of the follower component."""

from typing import Final

# Limits of the time for which the store may hold a read for changes, which is
# derived from contact_limit_s in read_waits.py. A silent connection is noticed
# only after it.
LONG_POLL_MIN_S: Final = 0.3
LONG_POLL_MAX_S: Final = 4.0
# Part of a wait chain that is left for a response of the store, and for the
# copies that hosts which do not read it get from those which do.
RESPONSE_ALLOWANCE_S: Final = 0.3
DELIVERY_ALLOWANCE_S: Final = 0.5
# A host logs that its last proof of the newest desired state is older than a
# long poll and this time, which a read and three hellos take.
UNCONFIRMED_MARGIN_S: Final = 3.0
CONFIRMATION_CHECK_PERIOD_S: Final = 0.5
# Pause between two reads of the upstream list. Workers report about every
# 1.2 s, and a draining one must get no new requests from 2 s after its notice
# on, so the list is read well within that.
UPSTREAMS_PAUSE_S: Final = 0.85
# Entry hosts discover each other by hellos, so the list of their records is
# read rarely, and the more rarely the more hosts there are: all of them
# together read it about twice a second.
HOSTS_PAUSE_S: Final = 6.0
HOSTS_PAUSE_PER_HOST_S: Final = 0.5
# Pause after each change, so that a quick series does not cause a read each.
CHANGES_PAUSE_S: Final = 0.1
# The pause after a failed read grows from the first value to the second.
BACKOFF_FIRST_S: Final = 0.15
BACKOFF_MAX_S: Final = 0.6
# A read ends earlier, after the long poll and the client's own time limits.
READ_TIMEOUT_S: Final = 10.0
# Entries that expired during a store outage are restored by the platform
# within about two seconds of the store's return.
RESTORE_TIMEOUT_S: Final = 2.5
RESTORE_CHECK_PERIOD_S: Final = 0.5
# Readers: hosts of a data centre that read the operator's records from the
# store. The other hosts copy the records from them. The store does not
# compress: with 1,800 routes and a change every 1.6 s, each reader takes
# 230 KB/s of the 1.69 MB/s between two regions.
READERS_PER_DATA_CENTRE: Final = 2
# How often a host that does not read the store checks whether it has to: well
# within the 2 s in which a desired state has to be in force.
READER_CHECK_PERIOD_S: Final = 0.5
# Pause between two fetches of a desired state from other entry hosts, so that
# the changes of a series are not fetched one by one.
FETCH_PAUSE_S: Final = 0.5
# For how long a host has to lack a desired state before it fetches it. This
# holds for a reader, and for any other host that fetches it from a host of
# its data centre that is not its assigned reader.
FETCH_DELAY_S: Final = 0.5
# The same for a fetch from another data centre by a host that is no reader:
# its reader and the other local hosts have had time to get the state by then.
REMOTE_FETCH_DELAY_S: Final = 1.0
# A host that is no reader reads the store itself when it has lacked a desired
# state for this long. The hosts of a data centre begin one after the other,
# one step apart.
STORE_READ_DELAY_S: Final = 1.5
STORE_READ_STEP_S: Final = 0.5
# Time limit of a whole fetch. Once one has taken SECOND_FETCH_DELAY_S, another
# host is asked as well.
FETCH_TIMEOUT_S: Final = 2.0
SECOND_FETCH_DELAY_S: Final = 0.7
CONCURRENT_FETCHES_MAX: Final = 2
# How often a host that lacks a desired state looks for a host to fetch it
# from. Hellos that name the version come every 0.9 s only and may be lost.
FETCH_CHECK_DELAY_S: Final = 0.15
# After a failed read of the store, feeds are read through other entry hosts
# for this time.
STORE_BACKOFF_S: Final = 1.5
PEERS_TRIED_MAX: Final = 2
PEER_TIMEOUT_S: Final = 0.7
# Ages of one version that differ by less than this count as equal, because
# the transit time of a hello is part of them.
AGE_TOLERANCE_S: Final = 0.1
# Offset in a ReadFeed message that asks a peer for its cached records.
CACHE_OFFSET: Final = -2
# From this number of entry hosts in a data centre on, two of them read the list
# of upstreams from the store, and the others get its changes from these. Each
# worker writes its entry about once a second, so that the bytes that a host
# reads from the store grow with the number of workers.
SHARED_LIST_HOSTS_MIN: Final = 5
LIST_READERS_PER_DATA_CENTRE: Final = 2
# How long a reader lets a host wait for a change, and how long that host waits
# beyond it. Within both together, a host notices that its reader has failed,
# which leaves time for a read of the store before a worker that leaves must
# get no more requests.
SHARED_LIST_WAIT_S: Final = 0.5
SHARED_LIST_TIMEOUT_S: Final = 0.4
# What is left of the drain limit when a reader stops vouching for its list: a
# host that waits for it may find it hung, reads the store itself, and has
# requests under way.
SHARED_LIST_DELIVERY_S: Final = 1.8
# The list is shared only if a reader may vouch for it this long, which is the
# pause between two of its reads and the time of one.
SHARED_LIST_AGE_NEEDED_S: Final = 1.15
# A reader that failed is not asked for this time.
SHARED_LIST_BACKOFF_S: Final = 2.0
# Removed upstreams that a reader remembers, for hosts that have not heard of
# their removal.
SHARED_REMOVALS_MAX: Final = 1000
# An entry that has not changed is announced again after this time, so that a
# service that dropped its upstream by mistake gets it back.
ANNOUNCE_PERIOD_S: Final = 3.0
