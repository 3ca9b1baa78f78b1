"""Constants of the relay component."""

from typing import Final

# Fetches in progress for one version on each host. The hosts that share a
# version out fill the origin's link of 9.9 Mbit/s together; more would make
# each fetch longer than its time allows.
FETCHES: Final = 4
# A host without the piece waits for the origin itself; it is asked last once
# it has given nothing for this long after it said so.
SOURCE_STALL_S: Final = 1.0
# Versions kept: the one in force and the one declared before it.
VERSIONS_KEPT: Final = 2
# A fetch of 32 KiB takes some 30 ms from the origin, a relay answers it as
# soon as it has the piece.
FETCH_TIMEOUT_S: Final = 2.5
FETCH_WAIT_MS: Final = 2000
# A source that failed is asked last for this time; the origin for less, since
# a version that nobody holds yet comes from nowhere else.
SUSPECT_S: Final = 2.0
ORIGIN_SUSPECT_S: Final = 0.4
# Pause after all sources failed.
RETRY_S: Final = 0.2
# Manifest index in a request for a piece.
MANIFEST_INDEX: Final = -1
# Pieces of one index that fail their digest before the manifest is doubted.
DOUBT_AFTER: Final = 3

STATUS_NOT_YET: Final = 'not_yet'
STATUS_UNKNOWN: Final = 'unknown_version'
ORIGIN: Final = ''
# A worker asks anew after this time without anything to fetch.
IDLE_S: Final = 3600.0
# Agents report several times a second; what one held longer ago may be gone.
HOLDER_FRESH_S: Final = 1.5
# A version that others know for longer is on its way through them already.
RECENT_S: Final = 2.0
# Entry hosts that start together know each other and the agents after this
# time, so that only one of a data centre copies from agents.
SETTLE_S: Final = 3.0
