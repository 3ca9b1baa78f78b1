"""Constants of the relay component."""

from typing import Final

# Concurrent fetches of one version on each host. The hosts that fetch the
# stripes of a version fill the origin's link of 9.9 Mbit/s together; with more
# fetches, each would take longer than its timeout.
PARALLEL_FETCHES: Final = 4
# A host that lacks a piece usually waits for the origin itself. It is asked
# last once it has given nothing for this long after it first lacked a piece.
SOURCE_STALL_TIMEOUT_S: Final = 1.0
# The version in force and the one declared before it.
VERSIONS_CACHED_MAX: Final = 2
# A fetch of 32 KiB takes some 30 ms from the origin. A relay responds as soon
# as it has the piece.
FETCH_TIMEOUT_S: Final = 2.5
FETCH_WAIT_MS: Final = 2000
# A source that failed is asked last for this time. The back-off of the origin
# is shorter, since there is no other source of a version that no host has yet.
SOURCE_BACKOFF_S: Final = 2.0
ORIGIN_BACKOFF_S: Final = 0.4
# Pause of a fetching task after a failed fetch.
RETRY_DELAY_S: Final = 0.2
# Index that stands for the manifest in a request for a piece.
MANIFEST_INDEX: Final = -1
# After this many fetches of one piece that did not match its digest, the
# manifest is fetched again, since it may be corrupt itself.
CORRUPT_FETCHES_MAX: Final = 3
# Pauses before a piece is fetched again that was corrupt more than once. They
# grow, since its source may be at fault for long and all its bytes are priced.
CORRUPT_RETRY_FIRST_S: Final = 0.2
CORRUPT_RETRY_MAX_S: Final = 2.0
# A manifest that was read less than this ago is not read again when a requester
# doubts it.
MANIFEST_TRUSTED_S: Final = 1.0

STATUS_NOT_YET: Final = 'not_yet'
STATUS_UNKNOWN: Final = 'unknown_version'
ORIGIN: Final = ''
# Agents report several times a second. A version that an agent reported longer
# ago may have been replaced.
AGENT_REPORT_AGE_MAX_S: Final = 1.5
# A version that was declared longer ago is already being distributed by other
# hosts.
DECLARATION_AGE_MAX_S: Final = 2.0
# Entry hosts that start together know each other and the agents after this
# time. Copying from agents begins only then, so that one host of a data centre
# does it.
STARTUP_SETTLE_S: Final = 3.0
