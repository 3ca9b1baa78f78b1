"""Constants of the gateway component."""

from typing import Final

# Below the host's limit of file descriptors, minus those for files and
# connections to upstreams.
CONNECTIONS_MAX: Final = 3500
MAILBOX_SIZE: Final = 4096
# Defaults that hold until a desired state sets other limits.
HEAD_MAX_BYTES: Final = 16384
BODY_MAX_BYTES: Final = 4194304
HEAD_TIMEOUT_S: Final = 3.0
IDLE_TIMEOUT_S: Final = 15.0
# A caller that reads nothing for this long counts as disconnected.
WRITE_TIMEOUT_S: Final = 10.0
# After its last response, a connection is read until the caller closes it or
# sends nothing for CLOSE_IDLE_S, at most for CLOSE_WAIT_S. Longer waits would
# hold up the end of a planned stop.
CLOSE_IDLE_S: Final = 0.5
CLOSE_WAIT_S: Final = 2.0
RESPONSE_BODY_MAX_BYTES: Final = 8388608
# Response bodies and incomplete events up to RESPONSE_UNRESERVED_MAX_BYTES need
# no reservation. Larger ones reserve memory in steps of
# RESPONSE_MEMORY_STEP_BYTES. All of them together may reserve
# RESPONSE_MEMORY_MAX_BYTES, since the smallest entry hosts have 200 MB of
# memory.
RESPONSE_UNRESERVED_MAX_BYTES: Final = 65536
RESPONSE_MEMORY_STEP_BYTES: Final = 1048576
RESPONSE_MEMORY_MAX_BYTES: Final = 50331648
EVENT_MAX_BYTES: Final = 1048576
# The body of a refusal is read only so that its connection can be kept. It is
# a few words long and arrives with the head.
REFUSAL_BODY_MAX_BYTES: Final = 16384
REFUSAL_READ_S: Final = 0.1
# On a reused connection, responses to earlier requests are discarded up to this
# number and size, to read the one to the request.
EARLIER_RESPONSES_MAX: Final = 2
EARLIER_RESPONSE_MAX_BYTES: Final = 16384
# After that, the request's own response has to begin within this time, or
# within twice the route's latency goal. A worker may also have sent the other
# response in place of it.
OWN_RESPONSE_WAIT_MIN_S: Final = 0.3
# A request waits for a free upstream for at most this share of its route's
# latency goal. After that, a refusal lets the caller try elsewhere.
QUEUE_TIMEOUT_SHARE_OF_GOAL: Final = 0.12
# A stream that another worker may continue asks for one when its worker sends
# no event for this long, or for this many times the route's goal if that is
# longer. Callers disconnect after two seconds without an event, or after
# four times the latency goal or eight times the goal for gaps if those are
# longer.
FIRST_EVENT_SILENCE_TIMEOUT_S: Final = 1.3
EVENT_SILENCE_TIMEOUT_S: Final = 1.0
SILENCE_GOAL_FACTOR: Final = 2.0
# An idempotent request asks for another worker when its worker is silent for
# this share of the remaining time.
IDEMPOTENT_SILENCE_SHARE: Final = 0.4
# A resumed stream waits at most this long for a worker, because after a
# longer pause its next event would be late anyway.
RESUME_QUEUE_TIMEOUT_S: Final = 0.3
# Limits the attempts that reached no upstream, which the route's limit on
# attempts does not count.
UNSENT_ATTEMPTS_MAX: Final = 4
# Parts of a prompt beyond this number, and longer ones, are not tracked: a
# caller chooses them, and they are kept for as long as they may be suspects.
TRACKED_PARTS_MAX: Final = 32
TRACKED_PART_MAX_CHARS: Final = 64
# A worker that has sent events for this long was not crashed by the prompt.
PROMPT_SERVED_AFTER_S: Final = 0.25
# No attempt starts with less time than this before the request's deadline.
MIN_TIME_LEFT_S: Final = 0.02
# Retry-After times of refusals lie between a first value, for a full and for an
# unavailable service, and a share of the caller's remaining time. Callers that
# are refused together return spread over that time; if all came back after the
# first value, most of them would find the same workers still full.
RETRY_AFTER_OVERLOADED_FIRST_S: Final = 0.4
RETRY_AFTER_UNAVAILABLE_FIRST_S: Final = 1.2
RETRY_AFTER_MAX_S: Final = 4.0
# Callers wait for at most a third of their remaining time.
RETRY_AFTER_SHARE: Final = 0.3
# The load balancer removes a host after two failed checks, one second apart.
# Until then it still sends requests.
STOP_ACCEPT_S: Final = 2.6
# Time for the last responses to be transmitted.
STOP_LINGER_S: Final = 0.1
# How long before that the requests in progress are interrupted, so that their
# callers get a response.
STOP_RESPOND_S: Final = 0.2
# Part of the grace period kept for the process itself to end.
STOP_MARGIN_S: Final = 0.4
