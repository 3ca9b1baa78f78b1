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
    SUSPICION_FIRST_S,
    SUSPICION_LONGEST_S,
)
from apricotpin.const import SERVICE_ROUTER
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.hosts import Host
from apricotpin.messages.routing import (
    Admit,
    AttemptEnded,
    ReleaseTicket,
    Selected,
    SelectUpstreamHost,
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
_RESTS_UNTIL_S = {
    'resting': _NOW_S + 1,
    'rested and idle': _NOW_S - 1,
    'rested and probed': _NOW_S - 1,
}
_OWN_IN_FLIGHT = {'rested and probed': 1, 'busy': 2}


class Known:
    """Hold the hosts of a scenario and what the router knows of them."""

    __slots__ = ('hosts', 'load', 'tried')

    def __init__(self, descriptions):
        self.hosts = []
        self.load = decisions.Load({}, {})
        self.tried = []
        for host_id in descriptions:
            self._add(host_id, host_id.split(', '))

    def choose(self, generator, version=''):
        """Choose among the hosts."""
        wanted = decisions.Wanted(
            _SERVICE,
            'near',
            True,
            version,
            self.tried,
        )
        return decisions.choose_upstream(
            self.hosts,
            wanted,
            self.load,
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
            self._load(host_id, name)
        self.hosts.append(Host(host_id, **fields))

    def _load(self, host_id, name):
        self.load.in_flight[host_id] = _OWN_IN_FLIGHT.get(name, 0)
        until_s = _RESTS_UNTIL_S.get(name)
        if until_s is not None:
            rests = decisions.Suspicion(1, until_s)
            self.load.suspicions[host_id] = rests
        if name == 'tried':
            self.tried.append(host_id)


@given('router knows one host that is {properties}')
def know_one(context, properties):
    """Describe one host."""
    context.known = Known([properties])


@given('router knows a host that is {better} and one that is {worse}')
def know_two(context, better, worse):
    """Describe two hosts."""
    context.known = Known([better, worse])


@when('router chooses an upstream of version {version:w}')
def choose_version(context, version):
    """Choose once."""
    required = '' if version == 'any' else version
    context.chosen = [context.known.choose(random.Random(0), required)]


@when('router chooses {times:d} times')
def choose_often(context, times):
    """Choose with many random numbers."""
    context.chosen = [
        context.known.choose(random.Random(seed)) for seed in range(times)
    ]


@then("router's choice is {made:w}")
def check_made(context, made):
    """Compare whether a host was chosen."""
    found = 'none' if context.chosen[0] is None else 'made'
    assert found == made, found


@then('router chose the {better} host each time')
def check_better(context, better):
    """Compare every choice."""
    found = Counter(host.host_id for host in context.chosen)
    assert set(found) == {better}, found


@when('router suspects an upstream {failures:d} times')
def suspect_often(context, failures):
    """Let an upstream fail in a row."""
    pause_s = jittered_backoff(SUSPICION_FIRST_S, SUSPICION_LONGEST_S, _full)
    suspicion = None
    for _ in range(failures):
        suspicion = decisions.suspect(suspicion, _NOW_S, pause_s)
    context.suspicion = suspicion


def _full():
    return 1.0


@then('router lets it rest for {pause_s:g} s')
def check_rest(context, pause_s):
    """Compare the pause."""
    found_s = round(context.suspicion.until_s - _NOW_S, 3)
    assert found_s == pause_s, found_s


@given('router knows hosts that rest for {rests}')
def know_resting(context, rests):
    """Describe hosts by their rests."""
    context.known = Known(rests.split(', '))
    for host in context.known.hosts:
        if host.host_id != 'leaving':
            until_s = _NOW_S + float(host.host_id)
            rest = decisions.Suspicion(1, until_s)
            context.known.load.suspicions[host.host_id] = rest


@then("router's shortest rest is {expected}")
def check_shortest(context, expected):
    """Compare when a host may be tried again."""
    wanted = decisions.Wanted(_SERVICE, 'near', True)
    known = context.known
    rest_s = decisions.rest_s(known.hosts, wanted, known.load, _NOW_S)
    found = 'none' if rest_s is None else str(rest_s)
    assert found == expected, found


class Compared:
    """Hold a choice, the naive candidates and the load it was made under."""

    __slots__ = ('allowed', 'chosen', 'drawn', 'in_flight')

    def __init__(self, chosen, allowed, drawn, in_flight):
        self.chosen = chosen
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
    load = decisions.Load({}, {})
    for number, (state, place, found, service, busy, rests) in enumerate(
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
        load.in_flight[host.host_id] = busy
        if rests:
            rest = decisions.Suspicion(1, _NOW_S + 1)
            load.suspicions[host.host_id] = rest
    wanted = decisions.Wanted(_SERVICE, 'near', True, version)
    generator = random.Random(seed)
    drawn = []

    def draw(limit):
        drawn.append(generator.randrange(limit))
        return drawn[-1]

    chosen = decisions.choose_upstream(hosts, wanted, load, _NOW_S, draw)
    allowed = candidates(hosts, _SERVICE, 'near', version, load.suspicions)
    return Compared(chosen, allowed, drawn, load.in_flight)


@when('router choices are compared with the naive version')
def compare_choices(context):
    """Run both on random hosts."""
    context.compared = []

    @settings(max_examples=500, deadline=None, derandomize=True, database=None)
    @for_all(_HOSTS, st.sampled_from(('', 'v1', 'v2')), st.integers(0, 99))
    def run_both(fields, version, seed):
        context.compared.append(_compare(fields, version, seed))

    run_both()


@then('router chose a host whenever the naive version had a candidate')
def check_chosen(context):
    """Guard against refusals without reason."""
    for compared in context.compared:
        assert (compared.chosen is None) == (not compared.allowed)


@then('router never chose a host that the naive version excludes')
def check_allowed(context):
    """Guard against work for hosts that leave or switch."""
    made = [entry for entry in context.compared if entry.chosen is not None]
    assert made, 'no choice was made'
    for compared in made:
        assert compared.chosen in compared.allowed, compared.chosen.host_id


@then('router never chose the busier of two candidates')
def check_less_busy(context):
    """Guard against a choice that ignores its own counts."""
    pairs = [entry for entry in context.compared if len(entry.drawn) == 2]
    assert pairs, 'no two candidates were drawn'
    for compared in pairs:
        first, second = compared.drawn
        second += second >= first
        drawn = (compared.allowed[first], compared.allowed[second])
        least = min(compared.in_flight[host.host_id] for host in drawn)
        assert compared.chosen in drawn
        assert compared.in_flight[compared.chosen.host_id] == least


@when(
    'router and turns place {requests:d} requests of uneven length '
    'on {hosts:d} hosts',
)
def place(context, requests, hosts):
    """Place the same requests by both rules and keep the longest queues."""
    known = Known([f'host-{number}' for number in range(hosts)])
    generator = random.Random(7)
    # One request of ten takes 20 times as long as the others.
    lengths = generator.choices((1, 20), (9, 1), k=requests)
    context.longest = {
        'router': _longest_queue(
            lengths,
            known,
            lambda _turn: known.choose(generator),
        ),
        'turns': _longest_queue(
            lengths,
            known,
            lambda turn: next_round_robin(known.hosts, _SERVICE, turn),
        ),
    }


def _longest_queue(lengths, known, choose_host):
    """Start one request in each turn and return the most on one host."""
    in_flight = known.load.in_flight
    in_flight.clear()
    ends = []
    longest = 0
    for turn, length in enumerate(lengths):
        ended = [end for end in ends if end[0] <= turn]
        for end in ended:
            ends.remove(end)
            in_flight[end[1]] -= 1
        host_id = choose_host(turn).host_id
        in_flight[host_id] = in_flight.get(host_id, 0) + 1
        ends.append((turn + length * 10, host_id))
        longest = max(longest, in_flight[host_id])
    return longest


@then("router's longest queue is shorter than that of turns")
def check_longest(context):
    """Guard against a choice that does not even the load out."""
    longest = context.longest
    assert longest['router'] < longest['turns'], longest


@given('router with one upstream')
def start_router(context):
    """Start the component with one host."""
    context.world = World()
    context.cleanups = [context.world.close]
    context.world.configure()
    context.world.add_upstream('fees', 'near')


def _call(context, message):
    return context.world.kernel.call(SERVICE_ROUTER, message)


def _name_answer(answered):
    if answered.is_err():
        return answered.err_value.kind.value
    return type(answered.ok_value).__name__.lower()


@when('router admits a request and its attempt {health:w}')
def run_request(context, health):
    """Run a request with one attempt."""
    assert _call(context, Admit('one', 'fees', '', None)).is_ok()
    chosen = _call(context, SelectUpstreamHost('one'))
    assert isinstance(chosen.ok_value, Selected)
    _call(context, AttemptEnded('one', health))
    _call(context, ReleaseTicket('one'))


@when('router waits until it has rested')
def wait_for_rest(_context):
    """Wait for the end of the first pause."""
    gevent.sleep(SUSPICION_FIRST_S + 0.01)


@when('router is asked for an upstream again')
def ask_again(context):
    """Choose for another request."""
    _call(context, Admit('two', 'fees', '', None))
    context.answered = _call(context, SelectUpstreamHost('two'))


@then('router answers {expected:w}')
def check_answered(context, expected):
    """Compare the class of the answer."""
    found = _name_answer(context.answered)
    assert found == expected, found


@then('router suspects nothing')
def check_no_suspicion(context):
    """Compare the suspected hosts."""
    suspected = context.world.status(SERVICE_ROUTER)['suspected']
    assert not suspected, suspected


@when('router is asked for an upstream by {count:d} requests at once')
def ask_at_once(context, count):
    """Choose for several requests that stay in flight."""
    context.tickets = [f'ticket-{number}' for number in range(count)]
    context.answers = []
    for ticket in context.tickets:
        _call(context, Admit(ticket, 'fees', '', None))
        context.answers.append(_call(context, SelectUpstreamHost(ticket)))


@then('router chose an upstream for {count:d} of them')
def check_choices(context, count):
    """Count the requests that got an upstream."""
    found = [_name_answer(answered) for answered in context.answers]
    assert found.count('selected') == count, found


@when('router learns that the upstream is {state:w}')
def learn_state(context, state):
    """Announce another state."""
    context.world.set_state('near', state)


@when('router admits {requests:d} requests that are all retried 3 times')
def retry_all(context, requests):
    """Ask for retries as long as they are allowed."""
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
    """Earn retries."""
    for number in range(requests):
        _call(context, Admit(f'quiet-{number}', 'fees', '', 0))
        _call(context, ReleaseTicket(f'quiet-{number}'))


@when('router is told that an attempt ended, and then its request')
def end_attempt_and_request(context):
    """End one of the requests in two steps."""
    _call(context, AttemptEnded(context.tickets[0], 'works'))
    _call(context, ReleaseTicket(context.tickets[0]))


@then('router counts {count:d} requests in flight on the upstream')
def check_on_upstream(context, count):
    """Guard against hosts that look less busy than they are."""
    fields = context.world.status(SERVICE_ROUTER)
    found = list(fields['in_flight_by_host'].values())
    assert found == [count], found


@when('router is told that they ended, twice')
def end_twice(context):
    """End every request two times."""
    for ticket in context.tickets * 2:
        _call(context, ReleaseTicket(ticket))


@then('router counts nothing in flight')
def check_nothing(context):
    """Compare the counts."""
    fields = context.world.status(SERVICE_ROUTER)
    found = (fields['requests_in_flight'], fields['in_flight_by_host'])
    assert found == (0, {}), found
