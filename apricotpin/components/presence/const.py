"""Constants of the presence component."""

from typing import Final

# Agents learn of declared versions from hellos. Hellos are therefore frequent
# within a data centre: an agent gets one at each tick from this many of its
# entry hosts, or from all if there are fewer.
HELLO_PERIOD_S: Final = 0.3
LOCAL_SENDERS_PER_TICK: Final = 7
# Other hosts get a hello once in this many ticks at the most often.
SLOW_HELLO_TICKS: Final = 3
# Hellos that a host sends to entry hosts, and to agents, of other data centres
# within that time. Where there are more, each gets one less often.
REMOTE_HELLOS_MAX: Final = 16
# Several datagrams in a row have to be lost before a host times out: it does
# after this time, or after this many periods that its hellos name.
ENTRY_HOST_TIMEOUT_S: Final = 2.5
MISSED_PERIODS_MAX: Final = 2.75
AGENT_TIMEOUT_S: Final = 2.5
# One in this many reports goes to a given host of another data centre.
REMOTE_REPORT_EVERY: Final = 4
# A report goes to at most this many entry hosts, which take turns. Otherwise
# the work of agents and entry hosts would grow with the product of their
# numbers. With 13 local and 25 remote entry hosts, a local one receives two
# reports within 0.45 s and a remote one within 1.3 s.
LOCAL_RECEIVERS_MAX: Final = 6
REMOTE_RECEIVERS_MAX: Final = 4
# The delay of a path is the fastest hello of the recent window compared with
# the fastest of the baseline window. A host sends one or two hellos within
# the recent window.
PATH_RECENT_WINDOW_S: Final = 1.5
PATH_BASELINE_WINDOW_S: Final = 30.0
# A hello's confirmation of the desired state is passed on if it is younger than
# the last one by this time, so that not every hello costs a message.
CONFIRMATION_STEP_S: Final = 0.25
# The largest age that a hello states: its field has 32 bits.
CONFIRMATION_AGE_MAX_MS: Final = 2147483647
STORE_TIMEOUT_S: Final = 3.0
# Pause between attempts to write the record of this host to the store.
RECORD_RETRY_S: Final = 0.5
# Time that a stop allows the store to drop the record of this host.
DROP_RECORD_TIMEOUT_S: Final = 0.3
DATAGRAM_MAX_BYTES: Final = 8192
# Pause after a datagram could not be received.
RECEIVE_RETRY_S: Final = 0.01
# Declared versions of a model that hellos carry: the newest and those before
# it. When versions are declared in quick succession, the time of an earlier
# declaration still sets the deadline of the versions that it replaced.
DECLARED_VERSIONS_MAX: Final = 3
# Workers of one service and data centre switch versions in at most this many
# groups.
SWITCH_GROUPS_MAX: Final = 3
