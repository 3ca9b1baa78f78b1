"""Constants of the presence component."""

from typing import Final

# Agents learn of a version by a greeting, so it comes often in the data
# centre, and less often over the links between data centres.
HELLO_PERIOD_S: Final = 0.3
FAR_HELLO_EVERY: Final = 3
# Several greetings are lost before a host is taken as gone.
ENTRY_SILENT_S: Final = 2.5
AGENT_SILENT_S: Final = 2.5
# Of the reports, one in this many goes to a host of another data centre.
FAR_REPORT_EVERY: Final = 4
# A report goes to so many hosts at most, in turn, so that the work of agents
# and hosts does not grow with the product of their numbers. A host of 13 then
# gets two in 0.45 s, and one in another data centre of 25 hosts two in 1.3 s.
NEAR_RECEIVERS: Final = 6
FAR_RECEIVERS: Final = 4
# Delays of paths are taken from the greetings of this time, of which each host
# sends one or two, against the fastest of the longer time.
PATH_RECENT_S: Final = 1.5
PATH_BASE_S: Final = 30.0
STORE_TIMEOUT_S: Final = 3.0
# A record of this host is written again until it succeeds.
RECORD_RETRY_S: Final = 0.5
# A stop does not wait longer for the store to drop this host's record.
LEAVE_S: Final = 0.3
DATAGRAM_MAX_BYTES: Final = 8192
# Versions of a model that hosts tell each other: the newest, and those that
# still bound older ones while versions follow each other quickly.
VERSIONS_TOLD: Final = 3
# Workers of one service and data centre switch versions in so many groups.
SWITCH_GROUPS: Final = 3
