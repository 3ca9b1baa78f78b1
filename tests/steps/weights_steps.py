"""Steps for the weights component."""

import math

from behave import given, then
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as for_all

from apricotpin.components.weights.topology import Shape
from tests.weights_loop import Loop, Plan, fetch_naively

REGIONS = ('region-0', 'region-1', 'region-2')
LIMIT_S = 600
FAULT_S = 1.5
OUTAGE_S = 15
EXAMPLES = 60


def _times():
    return strategies.floats(0, FAULT_S)


def _subsets(names, largest):
    return strategies.sets(strategies.sampled_from(names), max_size=largest)


def _add_deaths(draw, plan):
    names = sorted(plan.regions)
    dead = draw(_subsets(names, len(names) - 1))
    plan.deaths = {name: draw(_times()) for name in dead}


def _add_corrupt(draw, plan):
    names = sorted(plan.regions)
    plan.corrupt = frozenset(draw(_subsets(names, len(names) - 1)))


def _add_differing(draw, plan):
    names = sorted(plan.regions)
    for name in draw(_subsets(names, 3)):
        plan.host_lists[name] = draw(_subsets(names, len(names)))


def _add_outages(draw, plan):
    start_s = draw(_times())
    plan.origin_outages = [(start_s, start_s + draw(_times()) * OUTAGE_S)]


def _add_cuts(draw, plan):
    for region in draw(_subsets(REGIONS, 1)):
        start_s = draw(_times())
        plan.cuts.append((region, start_s, start_s + draw(_times()) * OUTAGE_S))


FAULTS = {
    'no faults': (),
    'deaths': (_add_deaths,),
    'corrupt sources': (_add_corrupt,),
    'differing lists': (_add_differing,),
    'origin outages': (_add_outages,),
    'region cuts': (_add_cuts,),
    'all faults': (
        _add_deaths,
        _add_corrupt,
        _add_differing,
        _add_outages,
        _add_cuts,
    ),
}


@strategies.composite
def _plans(draw, faults, fewest, most, regions):
    count = draw(strategies.integers(fewest, most))
    placed = {
        f'host-{index}': REGIONS[index % regions] for index in range(count)
    }
    shape = Shape(
        draw(strategies.integers(1, 4)),
        draw(strategies.integers(1, 4)),
        REGIONS[0],
        REGIONS,
    )
    chunk_count = draw(strategies.integers(1, 24))
    plan = Plan(placed, shape, chunk_count, draw(strategies.integers(0, 99)))
    for add in faults:
        add(draw, plan)
    return plan


class Outcome:
    """Hold a plan and the loop that ran it."""

    def __init__(self, plan):
        self.plan = plan
        self.loop = Loop(plan)
        self.time_s = self.loop.run(LIMIT_S)

    def describe(self):
        """Return what identifies a failed run."""
        plan = self.plan
        counts = self.loop.counts
        held = {
            name: host.transfer.held for name, host in self.loop.hosts.items()
        }
        return (
            f'hosts={len(plan.regions)} stripes={plan.shape.stripes} '
            f'origin_copies={plan.shape.origin_copies} '
            f'chunks={plan.chunk_count} seed={plan.seed} '
            f'deaths={plan.deaths} corrupt={sorted(plan.corrupt)} '
            f'lists={plan.host_lists} cuts={plan.cuts} '
            f'outages={plan.origin_outages} held={held} '
            f'origin={counts.origin_chunks} uploads={counts.uploads} '
            f'crossings={counts.crossings} time_s={self.time_s}'
        )

    def disturbed(self):
        """Return how many hosts a fault touches directly."""
        plan = self.plan
        touched = {*plan.deaths, *plan.corrupt, *plan.host_lists}
        cut = {region for region, _, _ in plan.cuts}
        if cut:
            # Each side of a cut may need a root of its own.
            return len(touched) + len(REGIONS)
        return len(touched)


@given(
    'weights are distributed under {faults} to {fewest:d}-{most:d} hosts in '
    '{regions:d} regions'
)
def distribute(context, faults, fewest, most, regions):
    """Run the decisions for many generated plans."""
    outcomes = []

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(_plans(FAULTS[faults], fewest, most, regions))
    def collect(plan):
        outcomes.append(Outcome(plan))

    collect()
    context.outcomes = outcomes


@then('weights decisions and the naive version end with the same bytes')
def check_bytes(context):
    """Compare all bytes of all surviving hosts."""
    for outcome in context.outcomes:
        plan = outcome.plan
        survivors = set(plan.regions) - set(plan.deaths)
        assert survivors <= set(outcome.loop.hosts), outcome.describe()
        fetched, _ = fetch_naively(plan, outcome.loop.hosts)
        found = {
            name: b''.join(chunk or b'' for chunk in host.transfer.chunks)
            for name, host in outcome.loop.hosts.items()
        }
        assert found == fetched, outcome.describe()
        assert not outcome.loop.counts.unchecked, outcome.describe()


@then(
    'weights origin sends at most its copies and {extra:d} for each '
    'disturbed host'
)
def check_origin(context, extra):
    """Bound the chunks that the origin sent, below the naive version's."""
    for outcome in context.outcomes:
        plan = outcome.plan
        _, naive_chunks = fetch_naively(plan, plan.regions)
        copies = plan.shape.origin_copies + extra * outcome.disturbed()
        bound = min(naive_chunks, copies * plan.chunk_count)
        assert outcome.loop.counts.origin_chunks <= bound, outcome.describe()


@then('weights hosts upload at most their share of the copies')
def check_uploads(context):
    """Bound what each host sends; a stripe may hold one chunk more."""
    for outcome in context.outcomes:
        plan = outcome.plan
        hosts = len(plan.regions)
        faulty = len({*plan.deaths, *plan.corrupt, *plan.host_lists})
        copies = 1
        if faulty or plan.cuts or plan.origin_outages:
            copies = 2 * math.ceil(hosts / max(1, hosts - faulty))
        longest = math.ceil(plan.chunk_count / plan.shape.stripes)
        most = max(outcome.loop.counts.uploads.values(), default=0)
        bound = copies * longest * plan.shape.stripes
        assert most <= bound, outcome.describe()


@then(
    'weights cross into each later region at most once and {extra:d} for '
    'each disturbed host'
)
def check_crossings(context, extra):
    """Bound what each shared link carries into a region."""
    for outcome in context.outcomes:
        copies = 1 + extra * outcome.disturbed()
        most = max(outcome.loop.counts.crossings.values(), default=0)
        assert most <= copies * outcome.plan.chunk_count, outcome.describe()
