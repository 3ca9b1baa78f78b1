"""Messages to the metrics service."""


class Count:
    """Add an amount to a counter, under a label value if it has a label."""

    __slots__ = ('amount', 'label_value', 'metric')

    def __init__(
        self,
        metric: str,
        label_value: str = '',
        amount: float = 1,
    ) -> None:
        self.metric = metric
        self.label_value = label_value
        self.amount = amount


class SetGauge:
    """Set a gauge, under a label value if it has a label."""

    __slots__ = ('label_value', 'level', 'metric')

    def __init__(
        self,
        metric: str,
        level: float,
        label_value: str = '',
    ) -> None:
        self.metric = metric
        self.level = level
        self.label_value = label_value


class Observe:
    """Add a value to a histogram."""

    __slots__ = ('measured', 'metric')

    def __init__(self, metric: str, measured: float) -> None:
        self.metric = metric
        self.measured = measured


class RenderMetrics:
    """Ask for all metrics in the Prometheus text format."""

    __slots__ = ()
