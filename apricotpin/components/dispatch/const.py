"""Constants of the dispatch component."""

from typing import Final

# Agents report ten times a second; a report older than this says little.
REPORT_FRESH_S: Final = 1.2
# Requests that may wait at a model worker beyond its slots. A slot comes
# free every 100 ms, so more would miss the goal for the first event.
MODEL_QUEUE_AHEAD: Final = 2
# A stream that another worker broke off may go where others may not.
URGENT_AHEAD: Final = 6
# A plain worker's work takes tens of ms, so it may queue as many again.
PLAIN_QUEUE_SHARE: Final = 1.0
# Part of a worker's slots that a nearer one may be busier by: the way to
# another data centre takes a few ms of a goal of some hundred.
DISTANCE_COST: Final = 0.35
# What a worker that is about to switch weights, or that fails all its
# requests, costs in the same measure.
SWITCHING_COST: Final = 4.0
FAILURE_COST: Final = 3.0
# A worker that holds an older version switches before long, and cuts off the
# streams that still run at it.
BEHIND_COST: Final = 0.45
# Share of the failure score that one attempt replaces.
FAILURE_WEIGHT: Final = 0.25
# Spread of the random part that breaks ties between equal workers.
TIE_SPREAD: Final = 0.05
# Rest of a worker that could not be reached, doubling with each failure.
REST_FIRST_S: Final = 0.3
REST_LONGEST_S: Final = 3.0
# Rest of a worker that said that it is full.
BUSY_REST_S: Final = 0.08
# Sending to an older version ends this long before the bound, for the time
# that a request waits at the worker.
VERSION_MARGIN_S: Final = 0.8
# A stream that has not begun on an older version by this long before the
# bound is taken back: a host learns of a version up to 0.15 s after its
# acknowledgement, and the worker has to notice the closed connection.
BEGIN_MARGIN_S: Final = 0.3
# On a version whose bound comes sooner than this, a request is sent only to
# a worker with a free slot. One that waits there begins too late, or is
# taken back after it has waited in vain.
NO_QUEUE_S: Final = 2.0
# The own rate of requests, by which that of other hosts is estimated, is
# taken over this time.
RATE_WINDOW_S: Final = 2
# Nothing is sent to a data centre when the path there and back takes longer
# than usual by this. What waits in a link can't be taken back, and half a
# second after its caller has left no request may reach a worker.
PATH_DELAY_MAX_S: Final = 0.3
# Part of the shared retry budget that one host may use of its even share,
# for clocks and host lists that disagree.
BUDGET_SHARE: Final = 0.7
# Connections kept open to each worker, and for how long where the worker
# names no time: a time below one second is never named.
IDLE_PER_UPSTREAM: Final = 24
IDLE_UNNAMED_S: Final = 0.8
IDLE_USE: Final = 0.75
IDLE_CHECK_S: Final = 0.5
# Requests that may wait here for a worker at the same time.
WAITERS_MAX: Final = 256
MAILBOX_SIZE: Final = 4096
