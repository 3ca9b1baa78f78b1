"""Constants of the quarantine component."""

from typing import Final

# Crashes of workers after which a part is quarantined. The platform allows
# five before it counts requests with the part.
CRASHES_MIN: Final = 3
# From this number on, parts that the crashes do not tell apart are all
# quarantined.
AMBIGUOUS_CRASHES_MIN: Final = 4
# Prompts without the part that have to be served: since the first of these
# crashes if the part was served before, else at any time. While nothing is
# served, the workers have failed for another reason.
CONTROLS_MIN: Final = 3
# A request is not retried if a part that was never served is in this many
# crashes, the break of its own attempt included.
NO_RETRY_CRASHES_MIN: Final = 2
# Crashes within this time of each other count as one: workers that fail
# together have another cause.
CRASH_SEPARATION_S: Final = 0.05
# A part is quarantined this long after the crash that makes it a suspect. Other
# hosts can say until then that they serve it; their hellos come every 0.9 s.
SETTLE_S: Final = 1.5
# How long a crash counts, and for how long after its last crash a part stays
# quarantined.
EVIDENCE_KEEP_S: Final = 120.0
QUARANTINE_S: Final = 600.0
# A connection may break without a crash. The worker's state is checked this
# long after the break, and again until the time limit.
CONFIRM_DELAY_S: Final = 0.3
CONFIRM_TIMEOUT_S: Final = 2.4
# How often the evidence for other hosts is renewed: once a tick of the hellos.
REFRESH_PERIOD_S: Final = 0.3
# Limits of what a hello carries, so that it fits in one packet of 1,500 bytes:
# the suspects, the crashes of the first one and of each other one.
SUSPECTS_SENT_MAX: Final = 8
FIRST_CRASHES_SENT_MAX: Final = 16
CRASHES_SENT_MAX: Final = 4
SERVED_SENT_MAX: Final = 12
QUARANTINED_SENT_MAX: Final = 8
# For how long other hosts are told that a part they may suspect was served.
SERVED_SENT_S: Final = 10.0
# Limits of memory: parts whose last service is remembered, parts with crashes,
# and crashes that a quarantined part explains.
SERVED_MAX: Final = 4096
SUSPECTS_MAX: Final = 256
EXPLAINED_MAX: Final = 256
# Each request of a caller asks once at least.
MAILBOX_SIZE: Final = 4096
# Longer parts, which other hosts may send, are not tracked.
PART_MAX_CHARS: Final = 64
