"""Steps for the figures of the demo."""

from behave import given, then, when

from script import figures
from script.load import LoadResults
from script.standins.contents import Weights, manifest_of
from script.topology import Host, LinkRates, Topology


def _weights(version, chunks=2):
    return Weights('model', version, chunks * 1000, 1000)


@given('figures of a key whose caller was told "{told}"')
def make_results(context, told):
    """Make the results of one keyed request."""
    context.results = LoadResults()
    context.results.outcome_by_key['key'] = told


@when('figures count {runs} runs of it on two services')
def count_runs(context, runs):
    """Summarise the executions of two services."""
    executions = [{'executions': {'key': int(count)}} for count in runs.split()]
    context.summary = figures.summary_of_load(context.results, executions)


@then(
    'figures show not_idempotent_run_twice={twice:d} and '
    'not_run_but_run={broken:d}'
)
def check_runs(context, twice, broken):
    """Compare the figures."""
    summary = context.summary
    assert summary['not_idempotent_run_twice'] == twice, summary
    assert summary['not_run_but_run'] == broken, summary


@given('figures of a rollout from v1 to v2 on one engine')
def make_rollout(context):
    """Make a rollout on one host."""
    host = Host('agent-1', '127.0.0.1', 'here', 'here', 'model', 'model')
    topology = Topology('bench', '127.20', [host], LinkRates())
    versions = [_weights('v1'), _weights('v2')]
    context.rollout = figures.Rollout(topology, versions)


@when('figures see version "{version}" with the digest of "{digest}"')
def see_engine(context, version, digest):
    """Note the status of the engine."""
    shown = manifest_of(_weights(digest))['digest']
    statuses = [{'version': version, 'digest': shown}]
    context.rollout.record_engines(statuses, now_s=1)


@then('figures show {mixed:d} mixed hosts and complete is {complete}')
def check_rollout(context, mixed, complete):
    """Compare the state of the rollout."""
    assert len(context.rollout.mixed_hosts) == mixed, (
        context.rollout.mixed_hosts
    )
    assert context.rollout.is_complete() == (complete == 'yes')


@then(
    'figures give {limit_s:g} s for {chunks:d} chunks of 1000 bytes, '
    '{replicas:d} replicas and 1000 bytes/s'
)
def check_limit(context, limit_s, chunks, replicas):
    """Compare the least time of a pipeline."""
    found = figures.pipeline_limit_s(_weights('v1', chunks), replicas, 1000)
    assert round(found, 6) == limit_s, found
