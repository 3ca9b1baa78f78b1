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
FETCH_TIMEOUT_S: Final = 1.8
RETRY_S: Final = 0.15
# An entry host that did not deliver is asked last for this time.
SUSPECT_S: Final = 2.0
MANIFEST_INDEX: Final = -1
STATUS_OK: Final = 'ok'
STATUS_NOT_YET: Final = 'not_yet'
# A piece of 32 KiB takes 69 ms on an agent's link of 3.8 Mbit/s; this pause
# leaves half of it to the answers of the worker.
SHARING_PAUSE_S: Final = 0.14
SHARING_MAILBOX_SIZE: Final = 32
# Requests in progress end within about this time, so new ones are sent
# elsewhere this long before the last piece arrives.
DRAIN_AHEAD_S: Final = 0.5
# After this part of the time allowed, a worker waits for no other.
SWITCH_LATEST_SHARE: Final = 0.78
# A version of which this part is here is finished before a newer one: the
# rest takes less than the two seconds that the newer one can spare.
ALMOST_HERE_SHARE: Final = 0.6
# A version of which nothing came for this long gives way to an older one
# that the entry hosts hold: the origin may be away.
STALL_S: Final = 1.0
# An order that had no effect after this time is given again.
ORDER_EFFECT_S: Final = 6.0
CALL_TIMEOUT_S: Final = 4.0
IDLE_S: Final = 3600.0
# How often recorded entry hosts are asked for when none has greeted.
FIND_ENTRIES_S: Final = 0.7
STORE_TIMEOUT_S: Final = 3.0
