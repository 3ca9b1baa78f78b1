"""Steps for the weights component."""

import math

from behave import given, then
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as for_all

from apricotpin.components.weights.topology import TreeSettings
from tests.weights_simulation import FleetSimulation, RunPlan, fetch_naively

REGIONS = ('region-0', 'region-1', 'region-2')
RUN_LIMIT_S = 600
FAULT_TIME_MAX_S = 1.5
OUTAGE_FACTOR = 15
EXAMPLE_COUNT = 60


def _times():
    return strategies.floats(0, FAULT_TIME_MAX_S)


def _subsets(names, largest):
    return strategies.sets(strategies.sampled_from(names), max_size=largest)


def _add_deaths(draw, plan):
    names = sorted(plan.regions)
    dead = draw(_subsets(names, len(names) - 1))
    plan.deaths = {name: draw(_times()) for name in dead}


def _add_corrupt(draw, plan):
    names = sorted(plan.regions)
    plan.corrupt = frozenset(draw(_subsets(names, len(names) - 1)))


def _add_differing_lists(draw, plan):
    names = sorted(plan.regions)
    for name in draw(_subsets(names, 3)):
        plan.host_lists[name] = draw(_subsets(names, len(names)))


def _add_outages(draw, plan):
    start_s = draw(_times())
    plan.origin_outages = [(start_s, start_s + draw(_times()) * OUTAGE_FACTOR)]


def _add_cuts(draw, plan):
    for region in draw(_subsets(REGIONS, 1)):
        start_s = draw(_times())
        plan.cuts.append(
            (region, start_s, start_s + draw(_times()) * OUTAGE_FACTOR)
        )


FAULTS = {
    'no faults': (),
    'deaths': (_add_deaths,),
    'corrupt sources': (_add_corrupt,),
    'differing lists': (_add_differing_lists,),
    'origin outages': (_add_outages,),
    'region cuts': (_add_cuts,),
    'all faults': (
        _add_deaths,
        _add_corrupt,
        _add_differing_lists,
        _add_outages,
        _add_cuts,
    ),
}


@strategies.composite
def _run_plans(draw, faults, fewest, most, regions):
    count = draw(strategies.integers(fewest, most))
    region_by_host = {
        f'host-{index}': REGIONS[index % regions] for index in range(count)
    }
    tree_settings = TreeSettings(
        draw(strategies.integers(1, 4)),
        draw(strategies.integers(1, 4)),
        REGIONS[0],
        REGIONS,
    )
    chunk_count = draw(strategies.integers(1, 24))
    plan = RunPlan(
        region_by_host,
        tree_settings,
        chunk_count,
        draw(strategies.integers(0, 99)),
    )
    for add in faults:
        add(draw, plan)
    return plan


class RunOutcome:
    """Hold a plan and the simulation that ran it."""

    def __init__(self, plan):
        self.plan = plan
        self.simulation = FleetSimulation(plan)
        self.time_s = self.simulation.run(RUN_LIMIT_S)

    def describe(self):
        """Return a text that is enough to reproduce a failed run."""
        plan = self.plan
        counts = self.simulation.counts
        held = {
            name: host.transfer.held_count
            for name, host in self.simulation.hosts.items()
        }
        return (
            f'hosts={len(plan.regions)} stripes={plan.tree_settings.stripes} '
            f'origin_copies={plan.tree_settings.origin_copies} '
            f'chunks={plan.chunk_count} seed={plan.seed} '
            f'deaths={plan.deaths} corrupt={sorted(plan.corrupt)} '
            f'lists={plan.host_lists} cuts={plan.cuts} '
            f'outages={plan.origin_outages} held={held} '
            f'origin={counts.origin_chunks} uploads={counts.uploads} '
            f'crossings={counts.crossings} time_s={self.time_s}'
        )

    def disturbed_count(self):
        """Return how many hosts a fault affects directly."""
        plan = self.plan
        affected = {*plan.deaths, *plan.corrupt, *plan.host_lists}
        cut = {region for region, _, _ in plan.cuts}
        if cut:
            # Each side of a cut may need a root of its own.
            return len(affected) + len(REGIONS)
        return len(affected)


@given(
    'weights are distributed under {faults} to {fewest:d}-{most:d} hosts in '
    '{regions:d} regions'
)
def distribute(context, faults, fewest, most, regions):
    """Simulate many generated plans."""
    outcomes = []

    @settings(
        max_examples=EXAMPLE_COUNT,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(_run_plans(FAULTS[faults], fewest, most, regions))
    def collect(plan):
        outcomes.append(RunOutcome(plan))

    collect()
    context.outcomes = outcomes


@then('weights decisions and the naive version end with the same bytes')
def check_bytes(context):
    """Compare all bytes of all surviving hosts with the reference."""
    for outcome in context.outcomes:
        plan = outcome.plan
        survivors = set(plan.regions) - set(plan.deaths)
        assert survivors <= set(outcome.simulation.hosts), outcome.describe()
        fetched, _ = fetch_naively(plan, outcome.simulation.hosts)
        found = {
            name: b''.join(chunk or b'' for chunk in host.transfer.chunks)
            for name, host in outcome.simulation.hosts.items()
        }
        assert found == fetched, outcome.describe()
        assert not outcome.simulation.counts.unchecked, outcome.describe()


@then(
    'weights origin sends at most its copies and {extra:d} copies for each '
    'disturbed host'
)
def check_origin(context, extra):
    """Check the number of chunks that the origin sent.

    It is never above that of the naive version.
    """
    for outcome in context.outcomes:
        plan = outcome.plan
        _, naive_chunks = fetch_naively(plan, plan.regions)
        copies = (
            plan.tree_settings.origin_copies + extra * outcome.disturbed_count()
        )
        chunks_max = min(naive_chunks, copies * plan.chunk_count)
        assert outcome.simulation.counts.origin_chunks <= chunks_max, (
            outcome.describe()
        )


@then('weights hosts upload at most their share of the copies')
def check_uploads(context):
    """Check how many chunks each host sent.

    A stripe may hold one chunk more than another, so the limit is computed
    from the longest stripe.
    """
    for outcome in context.outcomes:
        plan = outcome.plan
        hosts = len(plan.regions)
        faulty = len({*plan.deaths, *plan.corrupt, *plan.host_lists})
        copies = 1
        if faulty or plan.cuts or plan.origin_outages:
            copies = 2 * math.ceil(hosts / max(1, hosts - faulty))
        longest = math.ceil(plan.chunk_count / plan.tree_settings.stripes)
        most = max(outcome.simulation.counts.uploads.values(), default=0)
        chunks_max = copies * longest * plan.tree_settings.stripes
        assert most <= chunks_max, outcome.describe()


@then(
    'weights enter each later region at most once and {extra:d} times for '
    'each disturbed host'
)
def check_crossings(context, extra):
    """Check how many chunks each shared link carried into a region."""
    for outcome in context.outcomes:
        copies = 1 + extra * outcome.disturbed_count()
        most = max(outcome.simulation.counts.crossings.values(), default=0)
        assert most <= copies * outcome.plan.chunk_count, outcome.describe()
