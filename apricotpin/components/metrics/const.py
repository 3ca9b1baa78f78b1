"""The table of all metrics; docs/metrics.md is made from it."""

from typing import Final

KIND_COUNTER: Final = 'counter'
KIND_GAUGE: Final = 'gauge'
KIND_HISTOGRAM: Final = 'histogram'


class Metric:
    """Describe a metric: its name with unit, kind, help and label."""

    __slots__ = ('description', 'kind', 'label', 'name')

    def __init__(
        self,
        name: str,
        kind: str,
        description: str,
        label: str = '',
    ) -> None:
        self.name = name
        self.kind = kind
        self.description = description
        self.label = label


METRICS: Final = (
    Metric(
        'refusals_total',
        KIND_COUNTER,
        'requests and messages refused, by error kind',
        'kind',
    ),
    Metric('retries_total', KIND_COUNTER, 'retries, by reason', 'reason'),
    Metric(
        'suspicions_total',
        KIND_COUNTER,
        'failures after which an upstream was suspected',
    ),
    Metric(
        'upstream_connections_total',
        KIND_COUNTER,
        'connections opened to upstreams',
    ),
    Metric(
        'upstreams_leaving_total',
        KIND_COUNTER,
        'upstreams that stated in a response or a report that they shut down',
    ),
    Metric(
        'upstream_pauses_total',
        KIND_COUNTER,
        'responses in which an upstream asked for no further requests',
    ),
    Metric(
        'prompt_parts_quarantined_total',
        KIND_COUNTER,
        'parts of prompts that were quarantined because workers crash on them',
    ),
    Metric('requests_total', KIND_COUNTER, 'requests accepted from callers'),
    Metric('requests_in_flight', KIND_GAUGE, 'requests of callers in progress'),
    Metric(
        'request_duration_s',
        KIND_HISTOGRAM,
        'time from a request to the end of its response in seconds',
    ),
    Metric(
        'first_byte_s',
        KIND_HISTOGRAM,
        'time from a request to the first byte of its response in seconds',
    ),
    Metric(
        'upstream_first_part_s',
        KIND_HISTOGRAM,
        'time from sending a request to the first part of the response in '
        'seconds',
    ),
    Metric(
        'log_appends_total',
        KIND_COUNTER,
        'appends to the log service, by outcome',
        'outcome',
    ),
    Metric('log_reads_total', KIND_COUNTER, 'reads from the log service'),
    Metric(
        'config_accepted_offset',
        KIND_GAUGE,
        'log offset of the configuration in force',
    ),
    Metric(
        'desired_state_bytes_total',
        KIND_COUNTER,
        'bytes of desired states received: from the store, from a host in '
        'the same data centre (near) or in another one (far)',
        'source',
    ),
    Metric(
        'desired_state_age_s',
        KIND_GAUGE,
        'seconds since a source showed that the desired state in force here '
        'is the newest',
    ),
    Metric('heartbeats_total', KIND_COUNTER, 'heartbeats received'),
    Metric('hosts_known', KIND_GAUGE, 'hosts in the table, by state', 'state'),
    Metric(
        'chunk_bytes_total',
        KIND_COUNTER,
        'bytes of checked chunks received, by source',
        'source',
    ),
    Metric('chunk_bytes_sent_total', KIND_COUNTER, 'bytes of chunks sent'),
    Metric('chunks_held', KIND_GAUGE, 'chunks of the target version held'),
    Metric(
        'engine_orders_total',
        KIND_COUNTER,
        'orders to the engine, by outcome',
        'outcome',
    ),
    Metric(
        'claims_total',
        KIND_COUNTER,
        'verdicts on claims, by verdict',
        'verdict',
    ),
    Metric(
        'claim_records_total',
        KIND_COUNTER,
        'records of claims and outcomes sent to the log',
    ),
    Metric(
        'claim_records_dropped_total',
        KIND_COUNTER,
        'outcomes and closings dropped before they were recorded',
        'record',
    ),
    Metric(
        'claims_unrecorded',
        KIND_GAUGE,
        'outcomes and closings not recorded yet',
    ),
    Metric('claims_held', KIND_GAUGE, 'claims in memory'),
)
