"""Constants of the dispatch component."""

from typing import Final

# Agents send ten load reports a second. An older report than this says
# little about the current load.
REPORT_AGE_MAX_S: Final = 1.2
# Queue limit of a model worker: requests that may wait there beyond its
# slots. A slot becomes free every 100 ms, so requests further back in the
# queue would miss the latency goal of the first event.
MODEL_QUEUE_MAX: Final = 2
# Added to the queue limit for a request that resumes a stream which another
# worker broke off.
RESUMED_QUEUE_EXTRA: Final = 6
# Queue limit of an upstream without a model, per slot. Its requests take
# tens of milliseconds, so as many may wait as it has slots.
PLAIN_QUEUE_PER_SLOT_MAX: Final = 1.0
# Costs are in units of the load of an upstream with all its slots in use.
# A local upstream may be busier than a remote one by this: the path to
# another data centre takes a few milliseconds of a latency goal of some
# hundred.
REMOTE_COST: Final = 0.35
# Cost of opening a connection. Where hundreds of hosts use the same workers,
# each worker gets a request of a given host only every few seconds, after the
# idle connection has expired. With this cost a host keeps to workers that it
# is connected to while the others are about as busy, by one slot of twelve.
CONNECT_COST: Final = 0.08
# Cost of a worker that is about to switch weights.
SWITCHING_COST: Final = 4.0
# Cost of an upstream that fails all its requests.
FAILURE_COST: Final = 3.0
# Cost of a worker with an outdated version: it switches before long, which
# breaks off the streams that still run there.
OUTDATED_COST: Final = 0.45
# Weight of the latest attempt in the moving average of failures.
FAILURE_SCORE_WEIGHT: Final = 0.25
# Upper end of the random cost that breaks ties between equal upstreams.
TIE_BREAK_COST_MAX: Final = 0.05
# Back-off of an upstream that could not be reached. It doubles with each
# failure up to the maximum.
BACKOFF_FIRST_S: Final = 0.3
BACKOFF_MAX_S: Final = 3.0
# Back-off of an upstream that responded that it is full.
BUSY_BACKOFF_S: Final = 0.08
# Limits the pause that a worker may ask for. No worker needs longer to become
# available, and a restarted one is known anew at once.
PAUSE_MAX_S: Final = 300.0
# For how long a removed upstream that is leaving or paused is remembered. The
# store may lose its entry during an outage and list it again afterwards.
REMOVED_KEEP_S: Final = 300.0
# From this long before its version deadline, an outdated version receives no
# more requests, to allow for the time that a request waits at the worker.
VERSION_MARGIN_S: Final = 0.8
# A stream on an outdated version that has not started this long before the
# version deadline is cancelled: a host learns of a version up to 0.15 s
# after its declaration was acknowledged, and the worker needs time to notice
# the closed connection.
START_MARGIN_S: Final = 0.3
# With less time than this left to the version deadline, a request is sent
# only to a worker with a free slot. If it had to wait there, it would start
# too late or be cancelled after the wait.
NO_QUEUE_BEFORE_DEADLINE_S: Final = 2.0
# Period over which this host measures its own request rate, from which it
# estimates the rate of other hosts.
RATE_WINDOW_S: Final = 2
# No new request is sent to a data centre when the path there and back takes
# longer than usual by more than this. A request that waits in a link can't
# be cancelled, and none may reach a worker later than half a second after
# its caller has left.
PATH_DELAY_MAX_S: Final = 0.3
# Fraction of its even share of the retry budget that this host uses. The
# rest allows for clocks and host lists that differ between hosts.
RETRY_SHARE_MAX: Final = 0.7
# Idle connections kept open to each upstream.
IDLE_CONNECTIONS_MAX: Final = 24
# Time for which an idle connection is kept where its upstream announces no
# keep-alive time. An announced time is never below one second.
IDLE_DEFAULT_S: Final = 0.8
# Fraction of an announced keep-alive time for which a connection is kept.
IDLE_TIME_FRACTION: Final = 0.75
IDLE_CHECK_INTERVAL_S: Final = 0.5
# Requests that may wait in this component for an upstream at the same time.
WAITERS_MAX: Final = 256
MAILBOX_SIZE: Final = 4096
