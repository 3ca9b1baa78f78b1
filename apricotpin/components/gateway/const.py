"""Constants of the gateway component."""

from typing import Final

# Below the descriptors of a host, less those for files and upstreams.
CONNECTIONS_MAX: Final = 3500
MAILBOX_SIZE: Final = 4096
# Limits until a desired state names others.
HEAD_MAX_BYTES: Final = 16384
BODY_MAX_BYTES: Final = 4194304
HEAD_TIMEOUT_S: Final = 3.0
IDLE_TIMEOUT_S: Final = 15.0
# A caller that reads nothing for this long has left.
WRITE_TIMEOUT_S: Final = 10.0
ANSWER_BODY_MAX_BYTES: Final = 8388608
# Answers up to this size are not counted; the larger ones share the room for
# all of them, in these steps. The smallest entry hosts have 200 MB.
ANSWER_UNCOUNTED_BYTES: Final = 262144
ANSWERS_STEP_BYTES: Final = 1048576
ANSWERS_MAX_BYTES: Final = 50331648
EVENT_MAX_BYTES: Final = 1048576
# The body of a refusal is read only to keep its connection; it is a few
# words, which arrive with the head.
REFUSAL_BODY_MAX_BYTES: Final = 16384
REFUSAL_READ_S: Final = 0.1
# A request that no upstream has room for is held for this part of its goal;
# a longer wait is better spent by the caller.
HOLD_SHARE_OF_GOAL: Final = 0.12
# A stream's worker is given up when nothing comes for this long. Callers
# leave after two seconds or more without an event.
FIRST_EVENT_SILENT_S: Final = 1.3
EVENT_SILENT_S: Final = 1.0
# An idempotent request is sent elsewhere after this part of its time.
IDEMPOTENT_SILENT_SHARE: Final = 0.4
# A stream that broke off waits this long for a worker: a longer pause is
# late anyway.
RESUME_HOLD_S: Final = 0.3
# Attempts that reached no upstream are not bounded by the route.
UNSENT_ATTEMPTS_MAX: Final = 4
# Work that can't be ended before the deadline is not begun.
LEAST_TIME_S: Final = 0.02
# When to come back, as far as a caller's time allows.
COME_BACK_FULL_S: Final = 0.4
COME_BACK_EMPTY_S: Final = 1.2
COME_BACK_SHARE: Final = 0.3
# The balancer takes a host out after two missed checks, a second apart;
# until then callers still arrive.
STOP_ACCEPT_S: Final = 2.6
# Time for the last answers to leave the machine.
STOP_LINGER_S: Final = 0.1
# What is left of the grace time for the process to end.
STOP_MARGIN_S: Final = 0.4
