"""Constants of the installer component."""

from typing import Final

# The worker's own report is fresh and free on its machine, and entry hosts
# choose by it.
REPORT_PERIOD_S: Final = 0.1
REPORT_TIMEOUT_S: Final = 2.5
# A worker that did not answer so many reports in a row is not there.
UNREACHABLE_AFTER: Final = 2
# One piece in transfer at a time: more only queue on the narrow link, before
# the requests that arrive on it.
FETCHES: Final = 1
FETCH_WAIT_MS: Final = 800
# How long an entry host may take for a piece that it does not hold yet while
# another version could use the link: a piece takes 69 ms there.
PROBE_WAIT_MS: Final = 20
# A piece of 32 KiB on an agent's link of 3.8 Mbit/s, taken until pieces of
# the version were fetched.
PIECE_S: Final = 0.07
# Pause before another request for a piece that an entry host lacked.
NOT_YET_PAUSE_S: Final = 0.2
FETCH_TIMEOUT_S: Final = 1.8
RETRY_S: Final = 0.15
# An entry host that did not deliver is asked last for this time.
SUSPECT_S: Final = 2.0
# An entry host without the piece waits for the origin as all others do; it
# is taken as cut off once nothing of the version has come for this long.
SOURCE_STALL_S: Final = 3.0
MANIFEST_INDEX: Final = -1
STATUS_NOT_YET: Final = 'not_yet'
# A piece of 32 KiB takes 69 ms on an agent's link of 3.8 Mbit/s; this pause
# leaves half of it to the answers of the worker.
SHARING_PAUSE_S: Final = 0.14
SHARING_MAILBOX_SIZE: Final = 32
# Entry hosts send new requests elsewhere for this long before a worker takes
# a version: of streams that last a second in the mean, most have ended then.
# One that is cut off has its prompt read again, half of its work.
DRAIN_S: Final = 0.8
# After this part of the time allowed, a worker waits for no other.
SWITCH_LATEST_SHARE: Final = 0.78
# Part of the time allowed that a whole version needs to be loaded, and that
# entry hosts keep for requests which wait at a worker.
LOAD_RESERVE_S: Final = 1.2
# A version of which nothing came for this long gives way to an older one
# that is whole: the origin may be away.
STALL_S: Final = 1.0
# Entry hosts send to a version until this long before its bound; the same as
# VERSION_MARGIN_S of dispatch.
VERSION_RESERVE_S: Final = 0.8
# Staging, checking and loading a whole version takes about this long.
LOAD_S: Final = 0.7
# A version that could serve for less than this after loading is not loaded:
# the worker serves nothing meanwhile.
LEAST_USE_S: Final = 1.0
# What is staged may turn bad, so it is read again before an order if that
# began longer ago than this; a worker may load what turned bad within 3 s.
CHECK_FRESH_S: Final = 2.0
# An order follows a check within this time.
ORDER_AFTER_CHECK_S: Final = 0.3
# A suspension is longer than this; less is the time between two clocks read.
SUSPENSION_S: Final = 0.1
# An order that had no effect after this time is given again.
ORDER_EFFECT_S: Final = 6.0
CALL_TIMEOUT_S: Final = 4.0
IDLE_S: Final = 3600.0
# How often recorded entry hosts are asked for when none has greeted.
FIND_ENTRIES_S: Final = 0.7
STORE_TIMEOUT_S: Final = 3.0
