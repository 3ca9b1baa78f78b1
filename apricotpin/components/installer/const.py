"""Constants of the installer component."""

from typing import Final

# Reading the worker's report is cheap, since the worker runs on the same
# host, and entry hosts select workers by the latest report.
REPORT_INTERVAL_S: Final = 0.1
REPORT_TIMEOUT_S: Final = 2.5
# The worker counts as unreachable after this many failed report reads in a
# row.
UNREACHABLE_AFTER_MISSED: Final = 2
# A second transfer would only queue on the agent's narrow link and delay the
# requests that arrive on it.
PARALLEL_FETCHES: Final = 1
# How long an entry host that lacks a piece may wait for it before it responds.
FETCH_WAIT_MS: Final = 800
# The same limit while another version could use the link, on which a piece
# takes 69 ms.
PROBE_WAIT_MS: Final = 20
# Assumed time for a piece until pieces of the version have been fetched:
# 32 KiB on an agent's link of 3.8 Mbit/s.
DEFAULT_PIECE_TIME_S: Final = 0.07
# Delay before a version is requested again after an entry host lacked a piece
# of it.
NOT_YET_RETRY_DELAY_S: Final = 0.2
FETCH_TIMEOUT_S: Final = 1.8
RETRY_DELAY_S: Final = 0.15
# An entry host that failed to deliver a piece is asked last for this time.
SOURCE_BACKOFF_S: Final = 2.0
# An entry host that lacks a piece usually waits for the origin, as all others
# do. It is assumed to be cut off once no piece of the version has arrived for
# this long.
SOURCE_STALL_TIMEOUT_S: Final = 3.0
MANIFEST_INDEX: Final = -1
# After this many fetches of one piece that did not match its digest, the
# manifest is fetched again, since it may be corrupt itself.
CORRUPT_FETCHES_MAX: Final = 2
# Pauses after a corrupt piece or manifest. They grow, since its source may be
# at fault for long and each fetch delays responses on the agent's narrow link.
CORRUPT_RETRY_FIRST_S: Final = 0.15
CORRUPT_RETRY_MAX_S: Final = 2.0
STATUS_NOT_YET: Final = 'not_yet'
# An agent that sends a piece pauses for this many times the time that the piece
# takes on its link. The pause begins when the piece is handed to the link, so
# that half of the link is left to the worker's responses.
SHARING_PAUSE_FACTOR: Final = 2.0
# The pause where the rate of the link is not known: for a piece of 32 KiB on a
# link of 3.8 Mbit/s.
SHARING_PAUSE_DEFAULT_S: Final = 0.14
SHARING_MAILBOX_SIZE: Final = 32
# Entry hosts send new requests to other workers for this long before a worker
# loads a version. Streams last 1 s on average, so most of them end in that
# time. An interrupted stream has its prompt processed again at another
# worker, which is half of its work.
DRAIN_MAX_S: Final = 0.8
# After this fraction of the version limit, a worker no longer waits for its
# turn to switch.
SWITCH_DEADLINE_FRACTION: Final = 0.78
# Part of the version limit that loading a complete version takes, together
# with the margin that entry hosts keep for requests queued at a worker.
LOAD_MARGIN_S: Final = 1.2
# If no piece of a version arrives for this long, a complete older version is
# installed instead, since the origin may be unavailable.
VERSION_STALL_TIMEOUT_S: Final = 1.0
# Entry hosts send requests to a version until this long before its deadline.
# Equal to VERSION_MARGIN_S of the dispatch component.
VERSION_MARGIN_S: Final = 0.8
# Approximate time to stage, check and load a complete version.
LOAD_TIME_S: Final = 0.7
# A version that could serve for less than this after loading is not loaded,
# since the worker serves nothing while it loads.
SERVING_TIME_MIN_S: Final = 1.0
# Staged pieces may become corrupt, so they are read again before a load order
# if the last check started longer ago than this. A worker may load a piece
# that became corrupt less than 3 s before.
CHECK_AGE_MAX_S: Final = 2.0
# A check that took longer than that permits a load order for this time after
# its end, unless it started longer ago than ORDER_AGE_MAX_S.
ORDER_AFTER_CHECK_MAX_S: Final = 0.3
# Staged pieces that are read at a time. A check has to end before its first
# piece may have changed; one connection to the worker is left for agents and
# entry hosts that fetch pieces from this host.
PARALLEL_READS: Final = 3
# No load order is sent if its check started longer ago than this. The rest of
# the 3 s is left for the order to reach the worker.
ORDER_AGE_MAX_S: Final = 2.8
# After this many checks in a row that took longer than ORDER_AGE_MAX_S, the
# layers are loaded in parts. One alone may be due to a freeze of the host.
OVERLONG_CHECKS_MAX: Final = 2
# How long the check of such a part should take.
PART_CHECK_TIME_S: Final = 1.0
# Smaller differences are not suspensions: they come from reading two clocks
# one after the other.
SUSPENSION_MIN_S: Final = 0.1
# A load order that had no effect after this time is given again.
ORDER_EFFECT_TIMEOUT_S: Final = 6.0
CALL_TIMEOUT_S: Final = 4.0
# A copy of a piece without a response may take effect for this long, as may
# the calls of an earlier agent. The HTTP client gives a call up after at most
# 5 s; the rest is left for a worker that stalls with a call that it received.
CALL_SETTLE_S: Final = 10.0
# How often the store is read for entry hosts while none has sent a hello.
FIND_ENTRY_HOSTS_INTERVAL_S: Final = 0.7
STORE_TIMEOUT_S: Final = 3.0
