"""Steps for the figures of the demo."""

from behave import given, then, when

from script import figures
from script.load import LoadResults
from script.standins.contents import Weights, manifest_of
from script.topology import Host, LinkRates, Topology


def _weights(version, chunks=2):
    return Weights('model', version, chunks * 1000, 1000)


@given('figures of a key with the caller\'s verdict "{verdict}"')
def make_report(context, verdict):
    """Make a load report of one request with an idempotency key."""
    context.results = LoadResults()
    context.results.outcome_by_key['key'] = verdict


@when('figures count {executions} executions of it on two services')
def count_executions(context, executions):
    """Summarise the execution counts of two services."""
    counters = [
        {'executions': {'key': int(count)}} for count in executions.split()
    ]
    context.summary = figures.summary_of_load(context.results, counters)


@then(
    'figures show not_idempotent_run_twice={repeated:d} and '
    'not_run_but_run={executed:d}'
)
def check_executions(context, repeated, executed):
    """Compare the figures of keys run twice and run although refused."""
    summary = context.summary
    assert summary['not_idempotent_run_twice'] == repeated, summary
    assert summary['not_run_but_run'] == executed, summary


@given('figures of a rollout from v1 to v2 on one engine')
def make_rollout(context):
    """Make a rollout on one agent."""
    host = Host('agent-1', '127.0.0.1', 'here', 'here', 'model', 'model')
    topology = Topology('bench', '127.20', [host], LinkRates())
    versions = [_weights('v1'), _weights('v2')]
    context.rollout = figures.Rollout(topology, versions)


@when('figures see version "{version}" with the digest of "{digest}"')
def record_engine_status(context, version, digest):
    """Record an engine status with one version and the digest of another."""
    digest_hex = manifest_of(_weights(digest))['digest']
    statuses = [{'version': version, 'digest': digest_hex}]
    context.rollout.record_engines(statuses, now_s=1)


@then('figures show {mixed:d} mixed hosts and complete is {complete}')
def check_rollout(context, mixed, complete):
    """Compare the number of mixed hosts and the rollout's completion."""
    assert len(context.rollout.mixed_hosts) == mixed, (
        context.rollout.mixed_hosts
    )
    assert context.rollout.is_complete() == (complete == 'yes')


@then(
    'figures show a minimum of {limit_s:g} s for {chunks:d} chunks of 1000 '
    'bytes, {replicas:d} replicas and 1000 bytes/s'
)
def check_limit(context, limit_s, chunks, replicas):
    """Compare the minimum time of a pipelined distribution."""
    found = figures.pipeline_limit_s(_weights('v1', chunks), replicas, 1000)
    assert round(found, 6) == limit_s, found
