"""Steps for the router component."""

import random
from collections import Counter

import gevent
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from apricotpin.components.router import decisions
from apricotpin.components.router.const import (
    BACKOFF_FIRST_S,
    BACKOFF_MAX_S,
)
from apricotpin.const import SERVICE_ROUTER
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.hosts import Host
from apricotpin.messages.routing import (
    Admit,
    AttemptEnded,
    SelectUpstreamHost,
    Selected,
    ReleaseTicket,
)
from tests.frontend_world import World
from tests.naive.requests import candidates, next_round_robin

_NOW_S = 1000.0
_SERVICE = 'drafting'
_STATES = ('live', 'leaving', 'switching', 'suspected')

# How a host differs from one that is near, live and idle with version v1.
_FIELDS = {
    'leaving': {'state': 'leaving'},
    'switching': {'state': 'switching'},
    'suspected': {'state': 'suspected'},
    'of another service': {'service_name': 'fees'},
    'without an address': {'upstream_address': ''},
    'unconfirmed': {'version': ''},
    'far': {'data_centre': 'far'},
    'loaded': {'in_flight': 9},
}
_BACKOFFS_UNTIL_S = {
    'in back-off': _NOW_S + 1,
    'past its back-off': _NOW_S - 1,
    'past its back-off and probed': _NOW_S - 1,
}
_OWN_IN_FLIGHT = {'past its back-off and probed': 1, 'busy': 2}


class KnownHosts:
    """Own the hosts of a scenario and the router's local state of them."""

    __slots__ = ('hosts', 'local', 'tried')

    def __init__(self, descriptions):
        self.hosts = []
        self.local = decisions.LocalState({}, {})
        self.tried = []
        for host_id in descriptions:
            self._add(host_id, host_id.split(', '))

    def select(self, generator, version=''):
        """Select one of the hosts."""
        requirements = decisions.Requirements(
            _SERVICE,
            'near',
            True,
            version,
            self.tried,
        )
        return decisions.select_upstream(
            self.hosts,
            requirements,
            self.local,
            _NOW_S,
            generator.randrange,
        )

    def _add(self, host_id, properties):
        fields = {
            'data_centre': 'near',
            'state': 'live',
            'service_name': _SERVICE,
            'upstream_address': '127.0.0.1:1',
            'version': 'v1',
        }
        for name in properties:
            fields.update(_FIELDS.get(name, {}))
            self._set_local_state(host_id, name)
        self.hosts.append(Host(host_id, **fields))

    def _set_local_state(self, host_id, name):
        self.local.in_flight[host_id] = _OWN_IN_FLIGHT.get(name, 0)
        until_s = _BACKOFFS_UNTIL_S.get(name)
        if until_s is not None:
            backoff = decisions.Backoff(1, until_s)
            self.local.backoffs[host_id] = backoff
        if name == 'tried':
            self.tried.append(host_id)


@given('router knows one host that is {properties}')
def know_one(context, properties):
    """Describe one host."""
    context.known = KnownHosts([properties])


@given('router knows a host that is {better} and one that is {worse}')
def know_two(context, better, worse):
    """Describe two hosts."""
    context.known = KnownHosts([better, worse])


@when('router selects an upstream of version {version:w}')
def select_version(context, version):
    """Select once."""
    required = '' if version == 'any' else version
    context.selected = [context.known.select(random.Random(0), required)]


@when('router selects {times:d} times')
def select_often(context, times):
    """Select with many seeds."""
    context.selected = [
        context.known.select(random.Random(seed)) for seed in range(times)
    ]


@then("router's selection is {made:w}")
def check_made(context, made):
    """Compare whether a host was selected."""
    found = 'none' if context.selected[0] is None else 'made'
    assert found == made, found


@then('router selected the {better} host each time')
def check_better(context, better):
    """Compare every selection."""
    found = Counter(host.host_id for host in context.selected)
    assert set(found) == {better}, found


@when('router records {failures:d} failures of an upstream in a row')
def fail_often(context, failures):
    """Let an upstream fail in a row."""
    backoff_s = jittered_backoff(BACKOFF_FIRST_S, BACKOFF_MAX_S, _full)
    backoff = None
    for _ in range(failures):
        backoff = decisions.extend_backoff(backoff, _NOW_S, backoff_s)
    context.backoff = backoff


def _full():
    return 1.0


@then('router does not use it for {expected_s:g} s')
def check_backoff(context, expected_s):
    """Compare the back-off."""
    found_s = round(context.backoff.until_s - _NOW_S, 3)
    assert found_s == expected_s, found_s


@given('router knows hosts with back-offs of {backoffs}')
def know_backoffs(context, backoffs):
    """Describe hosts by the lengths of their back-offs."""
    context.known = KnownHosts(backoffs.split(', '))
    for host in context.known.hosts:
        if host.host_id != 'leaving':
            until_s = _NOW_S + float(host.host_id)
            backoff = decisions.Backoff(1, until_s)
            context.known.local.backoffs[host.host_id] = backoff


@then('router may try the next host after {expected}')
def check_shortest(context, expected):
    """Compare the shortest back-off."""
    requirements = decisions.Requirements(_SERVICE, 'near', True)
    known = context.known
    wait_s = decisions.shortest_backoff_s(
        known.hosts, requirements, known.local, _NOW_S
    )
    found = 'none' if wait_s is None else str(wait_s)
    assert found == expected, found


class Comparison:
    """Carry a selection, the naive candidates and the counts behind it."""

    __slots__ = ('allowed', 'drawn', 'in_flight', 'selected')

    def __init__(self, selected, allowed, drawn, in_flight):
        self.selected = selected
        self.allowed = allowed
        self.drawn = drawn
        self.in_flight = in_flight


_HOSTS = st.lists(
    st.tuples(
        st.sampled_from(_STATES),
        st.sampled_from(('near', 'far')),
        st.sampled_from(('v1', 'v2')),
        st.sampled_from((_SERVICE, 'fees')),
        st.integers(0, 5),
        st.booleans(),
    ),
    max_size=8,
)


def _compare(fields, version, seed):
    hosts = []
    local = decisions.LocalState({}, {})
    for number, (state, place, found, service, busy, in_backoff) in enumerate(
        fields
    ):
        host = Host(
            f'host-{number}',
            data_centre=place,
            state=state,
            service_name=service,
            version=found,
            upstream_address='127.0.0.1:1',
        )
        hosts.append(host)
        local.in_flight[host.host_id] = busy
        if in_backoff:
            backoff = decisions.Backoff(1, _NOW_S + 1)
            local.backoffs[host.host_id] = backoff
    requirements = decisions.Requirements(_SERVICE, 'near', True, version)
    generator = random.Random(seed)
    drawn = []

    def draw(limit):
        drawn.append(generator.randrange(limit))
        return drawn[-1]

    selected = decisions.select_upstream(
        hosts, requirements, local, _NOW_S, draw
    )
    allowed = candidates(hosts, _SERVICE, 'near', version, local.backoffs)
    return Comparison(selected, allowed, drawn, local.in_flight)


@when('router selections are compared with the naive version')
def compare_selections(context):
    """Run both on random hosts."""
    context.compared = []

    @settings(max_examples=500, deadline=None, derandomize=True, database=None)
    @for_all(_HOSTS, st.sampled_from(('', 'v1', 'v2')), st.integers(0, 99))
    def run_both(fields, version, seed):
        context.compared.append(_compare(fields, version, seed))

    run_both()


@then('router selected a host whenever the naive version had a candidate')
def check_selected_if_usable(context):
    """Check that no request is refused while a host is usable."""
    for compared in context.compared:
        assert (compared.selected is None) == (not compared.allowed)


@then('router never selected a host that the naive version excludes')
def check_allowed(context):
    """Check that no request reaches a leaving or switching host."""
    made = [entry for entry in context.compared if entry.selected is not None]
    assert made, 'no host was selected'
    for compared in made:
        assert compared.selected in compared.allowed, compared.selected.host_id


@then('router never selected the busier of two candidates')
def check_less_busy(context):
    """Check that selections rest on the router's own counts."""
    pairs = [entry for entry in context.compared if len(entry.drawn) == 2]
    assert pairs, 'no two candidates were drawn'
    for compared in pairs:
        first, second = compared.drawn
        second += second >= first
        drawn = (compared.allowed[first], compared.allowed[second])
        least = min(compared.in_flight[host.host_id] for host in drawn)
        assert compared.selected in drawn
        assert compared.in_flight[compared.selected.host_id] == least


@when(
    'router and round robin place {requests:d} requests of uneven length '
    'on {hosts:d} hosts',
)
def place(context, requests, hosts):
    """Place the same requests by both rules and record the longest queues."""
    known = KnownHosts([f'host-{number}' for number in range(hosts)])
    generator = random.Random(7)
    # One request of ten takes 20 times as long as the others.
    lengths = generator.choices((1, 20), (9, 1), k=requests)
    context.longest = {
        'router': _longest_queue(
            lengths,
            known,
            lambda _turn: known.select(generator),
        ),
        'round robin': _longest_queue(
            lengths,
            known,
            lambda turn: next_round_robin(known.hosts, _SERVICE, turn),
        ),
    }


def _longest_queue(lengths, known, select_host):
    """Start one request per turn; return the most in flight on one host."""
    in_flight = known.local.in_flight
    in_flight.clear()
    ends = []
    longest = 0
    for turn, length in enumerate(lengths):
        ended = [end for end in ends if end[0] <= turn]
        for end in ended:
            ends.remove(end)
            in_flight[end[1]] -= 1
        host_id = select_host(turn).host_id
        in_flight[host_id] = in_flight.get(host_id, 0) + 1
        ends.append((turn + length * 10, host_id))
        longest = max(longest, in_flight[host_id])
    return longest


@then("router's longest queue is shorter than that of round robin")
def check_longest(context):
    """Check that the selection spreads the load."""
    longest = context.longest
    assert longest['router'] < longest['round robin'], longest


@given('router with one upstream')
def start_router(context):
    """Start the component with one host."""
    context.world = World()
    context.cleanups = [context.world.close]
    context.world.configure()
    context.world.add_upstream('fees', 'near')


def _call(context, message):
    return context.world.kernel.call(SERVICE_ROUTER, message)


def _name_reply(reply):
    if reply.is_err():
        return reply.err_value.kind.value
    return type(reply.ok_value).__name__.lower()


@when('router admits a request and its attempt {health:w}')
def run_request(context, health):
    """Run a request with one attempt."""
    assert _call(context, Admit('one', 'fees', '', None)).is_ok()
    selected = _call(context, SelectUpstreamHost('one'))
    assert isinstance(selected.ok_value, Selected)
    _call(context, AttemptEnded('one', health))
    _call(context, ReleaseTicket('one'))


@when('router waits until the back-off has ended')
def wait_for_backoff(_context):
    """Wait for the end of the first back-off."""
    gevent.sleep(BACKOFF_FIRST_S + 0.01)


@when('router is asked for an upstream again')
def ask_again(context):
    """Request an upstream for another request."""
    _call(context, Admit('two', 'fees', '', None))
    context.reply = _call(context, SelectUpstreamHost('two'))


@then('router replies {expected:w}')
def check_reply(context, expected):
    """Compare the class of the reply."""
    found = _name_reply(context.reply)
    assert found == expected, found


@then('router has no host in back-off')
def check_no_backoff(context):
    """Compare the hosts in back-off."""
    suspected = context.world.status(SERVICE_ROUTER)['suspected']
    assert not suspected, suspected


@when('router is asked for an upstream by {count:d} requests at once')
def ask_at_once(context, count):
    """Request upstreams for several requests that stay in flight."""
    context.tickets = [f'ticket-{number}' for number in range(count)]
    context.replies = []
    for ticket in context.tickets:
        _call(context, Admit(ticket, 'fees', '', None))
        context.replies.append(_call(context, SelectUpstreamHost(ticket)))


@then('router selected an upstream for {count:d} of them')
def check_selected(context, count):
    """Count the requests that got an upstream."""
    found = [_name_reply(reply) for reply in context.replies]
    assert found.count('selected') == count, found


@when('router receives the state {state:w} of the upstream')
def receive_state(context, state):
    """Announce another state."""
    context.world.set_state('near', state)


@when('router admits {requests:d} requests that are all retried 3 times')
def retry_all(context, requests):
    """Request three retries for each request."""
    context.retries = 0
    for number in range(requests):
        ticket = f'ticket-{number}'
        _call(context, Admit(ticket, 'fees', '', 0))
        _call(context, SelectUpstreamHost(ticket))
        for _ in range(3):
            again = SelectUpstreamHost(ticket, retry_reason='silent')
            context.retries += _call(context, again).is_ok()
        _call(context, ReleaseTicket(ticket))


@then('router allowed {retries:d} retries')
def check_retries(context, retries):
    """Compare the retries that the budget allowed."""
    assert context.retries == retries, context.retries


@when('router admits {requests:d} requests that are not retried')
def run_without_retries(context, requests):
    """Add to the retry budget."""
    for number in range(requests):
        _call(context, Admit(f'quiet-{number}', 'fees', '', 0))
        _call(context, ReleaseTicket(f'quiet-{number}'))


@when('router receives the end of an attempt and then of its request')
def end_attempt_and_request(context):
    """End an attempt and then its request."""
    _call(context, AttemptEnded(context.tickets[0], 'works'))
    _call(context, ReleaseTicket(context.tickets[0]))


@then('router counts {count:d} requests in flight on the upstream')
def check_on_upstream(context, count):
    """Check that no request is subtracted twice."""
    fields = context.world.status(SERVICE_ROUTER)
    found = list(fields['in_flight_by_host'].values())
    assert found == [count], found


@when('router receives the end of each of them twice')
def end_twice(context):
    """End every request twice."""
    for ticket in context.tickets * 2:
        _call(context, ReleaseTicket(ticket))


@then('router counts no request in flight')
def check_nothing(context):
    """Compare the counts."""
    fields = context.world.status(SERVICE_ROUTER)
    found = (fields['requests_in_flight'], fields['in_flight_by_host'])
    assert found == (0, {}), found
