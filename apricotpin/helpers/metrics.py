"""Functions that send figures to the metrics service."""

from apricotpin.const import SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind
from apricotpin.messages.metrics import Count, SetGauge


def count(
    kernel: Kernel,
    metric: str,
    label_value: str = '',
    amount: float = 1,
) -> None:
    """Add to a counter; if the service's mailbox is full, drop the figure."""
    kernel.send(SERVICE_METRICS, Count(metric, label_value, amount))


def count_refusal(kernel: Kernel, kind: ErrorKind) -> None:
    """Count a refusal under its error kind."""
    count(kernel, 'refusals_total', kind.value)


def count_retry(kernel: Kernel, reason: str) -> None:
    """Count a retry under its reason."""
    count(kernel, 'retries_total', reason)


def set_gauge(
    kernel: Kernel,
    metric: str,
    level: float,
    label_value: str = '',
) -> None:
    """Set a gauge."""
    kernel.send(SERVICE_METRICS, SetGauge(metric, level, label_value))
