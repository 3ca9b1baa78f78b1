"""Keeps the registry of metrics and renders it."""

from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from apricotpin.components.metrics.const import (
    KIND_COUNTER,
    KIND_GAUGE,
    METRICS,
    Metric,
)
from apricotpin.core import Reply
from apricotpin.errors import ErrorKind
from apricotpin.messages.metrics import Count, Observe, RenderMetrics, SetGauge
from apricotpin.settings import Settings

_TEXT_FORMAT = ('text/plain; version=0.0.4',)
_NAME_PREFIX = 'apricotpin_'


class MetricsService:
    """Own the metrics of this process."""

    __slots__ = ('_collectors', '_labels', '_registry')

    def __init__(self, process_labels: dict[str, str]) -> None:
        self._registry = Registry()
        self._collectors = {
            metric.name: _collector_for(metric, process_labels, self._registry)
            for metric in METRICS
        }
        self._labels = {metric.name: metric.label for metric in METRICS}

    @classmethod
    def from_settings(cls, settings: Settings) -> 'MetricsService':
        """Build the registry with the labels that every metric carries."""
        return cls(
            {
                'host': settings.host_id,
                'role': settings.role,
                'region': settings.region,
            }
        )

    def count(self, message: Count, reply: Reply) -> None:
        """Add to a counter."""
        labels = self._labels_for(message.metric, message.label_value)
        self._collectors[message.metric].add(labels, message.amount)
        reply.ok()

    def set_gauge(self, message: SetGauge, reply: Reply) -> None:
        """Set a gauge."""
        labels = self._labels_for(message.metric, message.label_value)
        self._collectors[message.metric].set(labels, message.level)
        reply.ok()

    def observe(self, message: Observe, reply: Reply) -> None:
        """Add a value to a histogram."""
        self._collectors[message.metric].observe({}, message.measured)
        reply.ok()

    def render(self, _message: RenderMetrics, reply: Reply) -> None:
        """Reply with all metrics in the Prometheus text format."""
        content, _headers = render(self._registry, _TEXT_FORMAT)
        if content is None:
            reply.err(ErrorKind.INTERNAL, 'no metrics were rendered')
            return
        reply.ok(content)

    def _labels_for(self, metric: str, label_value: str) -> dict[str, str]:
        label = self._labels[metric]
        return {label: label_value} if label else {}


def _collector_for(
    metric: Metric,
    process_labels: dict[str, str],
    registry: Registry,
) -> Any:
    classes = {KIND_COUNTER: Counter, KIND_GAUGE: Gauge}
    collector_class = classes.get(metric.kind, Histogram)
    return collector_class(
        _NAME_PREFIX + metric.name,
        metric.description,
        const_labels=process_labels,
        registry=registry,
    )
