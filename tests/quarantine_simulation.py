"""Simulation of hosts that share evidence on prompts that crash workers.

A request waits at a worker, begins to be served and runs;
a deadly one crashes its worker as it begins.
"""

import heapq
import itertools
import random

from apricotpin.components.quarantine import evidence, exchange, suspects

DEADLY = 'deadly'
_SHARED = 'shared'
_TOPICS = 60
_LENGTH_S = 20.0
# Sound requests only, as before a part becomes deadly.
_WARM_UP_S = 4.0
_WAIT_MAX_S = 0.5
_RUN_MAX_S = 2.0
_SERVED_AFTER_S = 0.25
_DOWN_S = 3.0
_CONFIRM_MIN_S = 0.3
_CONFIRM_MAX_S = 0.9
_HELLO_S = 0.9
_REFRESH_S = 0.3
_LOSS = 0.05


class Request:
    """Hold the parts of a request and where it runs."""

    __slots__ = ('begun_s', 'host', 'is_retry', 'parts', 'worker')

    def __init__(self, host, parts):
        self.host = host
        self.parts = parts
        self.is_retry = False
        self.worker = None
        self.begun_s = None


class Simulation:
    """Play one seed, and count deadly arrivals and sound refusals."""

    def __init__(self, seed, hosts, workers, rate_per_s, deadly, other_s):
        self._draw = random.Random(seed)
        self._known = [evidence.Evidence() for _ in range(hosts)]
        self._breaks = [{} for _ in range(hosts)]
        self._running = [[] for _ in range(workers)]
        self._down_until_s = [0] * workers
        self._starts = [0] * workers
        self._deadly = deadly
        self._order = itertools.count()
        self._events = []
        self.now_s = 0
        self.crashes_s = []
        self.arrivals_s = []
        self.held_back = 0
        self.retries_held_back = 0
        self.sound = 0
        self._plan_arrivals(rate_per_s)
        self._plan_crashes(other_s)
        for host in range(hosts):
            self._at(self._draw.random() * _HELLO_S, self._hello, host)
            self._at(self._draw.random() * _REFRESH_S, self._refresh, host)

    def run(self):
        """Handle the events in the order of their times."""
        while self._events and self._events[0][0] < _LENGTH_S:
            now_s, _, function, arguments = heapq.heappop(self._events)
            self.now_s = now_s
            function(*arguments)

    def _at(self, time_s, function, *arguments):
        event = (time_s, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def _plan_arrivals(self, rate_per_s):
        arrival_s = 0
        while arrival_s < _LENGTH_S:
            arrival_s += self._draw.expovariate(rate_per_s)
            topic = f'topic{int(_TOPICS * self._draw.random() ** 2)}'
            is_deadly = (
                arrival_s > _WARM_UP_S
                and self._draw.random() * 100 < self._deadly
            )
            parts = (_SHARED, DEADLY, topic) if is_deadly else (_SHARED, topic)
            host = self._draw.randrange(len(self._known))
            self._at(arrival_s, self._receive, Request(host, parts))

    def _plan_crashes(self, other_s):
        crash_s = self._draw.expovariate(1 / other_s)
        while crash_s < _LENGTH_S:
            self._at(
                crash_s, self._crash, self._draw.randrange(len(self._running))
            )
            crash_s += self._draw.expovariate(1 / other_s)

    def _receive(self, request):
        known = self._known[request.host]
        is_sound = DEADLY not in request.parts
        self.sound += is_sound and not request.is_retry
        part = suspects.find_quarantined(known, request.parts)
        if not part and request.is_retry:
            part = suspects.find_retry_suspect(
                known, request.parts, self._pending(request.host)
            )
        if part:
            if request.is_retry:
                self.retries_held_back += is_sound
            else:
                self.held_back += is_sound
            return
        up = [
            worker
            for worker, until_s in enumerate(self._down_until_s)
            if until_s <= self.now_s
        ]
        if not up:
            return
        request.worker = min(up, key=lambda worker: len(self._running[worker]))
        self._running[request.worker].append(request)
        if not is_sound:
            self.arrivals_s.append(self.now_s)
        wait_s = self._draw.random() * _WAIT_MAX_S
        start = (request.worker, self._starts[request.worker])
        self._at(self.now_s + wait_s, self._begin, request, start)

    def _is_on(self, request, start):
        worker = request.worker
        return worker is not None and (worker, self._starts[worker]) == start

    def _begin(self, request, start):
        if not self._is_on(request, start):
            return
        if DEADLY in request.parts:
            self.crashes_s.append(self.now_s)
            self._crash(request.worker)
            return
        request.begun_s = self.now_s
        self._at(self.now_s + _SERVED_AFTER_S, self._serve, request, start)
        run_s = _SERVED_AFTER_S + self._draw.random() * _RUN_MAX_S
        self._at(self.now_s + run_s, self._end, request, start)

    def _serve(self, request, start):
        if self._is_on(request, start):
            evidence.record_served(
                self._known[request.host],
                request.parts,
                request.begun_s,
                self.now_s,
            )

    def _end(self, request, start):
        if self._is_on(request, start):
            self._running[request.worker].remove(request)

    def _crash(self, worker):
        if self._down_until_s[worker] > self.now_s:
            return
        broken = self._running[worker]
        self._running[worker] = []
        crash = worker * 1000 + self._starts[worker]
        self._starts[worker] += 1
        self._down_until_s[worker] = self.now_s + _DOWN_S
        for request in broken:
            request.worker = None
            if request.begun_s is None or (
                self.now_s - request.begun_s < _SERVED_AFTER_S
            ):
                self._break(request, crash)
        for request in broken:
            if not request.is_retry:
                request.is_retry = True
                request.begun_s = None
                self._receive(request)

    def _break(self, request, crash):
        breaks = self._breaks[request.host]
        if crash not in breaks:
            breaks[crash] = (self.now_s, set())
            wait_s = self._draw.uniform(_CONFIRM_MIN_S, _CONFIRM_MAX_S)
            self._at(self.now_s + wait_s, self._confirm, request.host, crash)
        breaks[crash][1].update(request.parts)

    def _confirm(self, host, crash):
        broken_s, parts = self._breaks[host].pop(crash)
        for part in parts:
            evidence.record_crash(
                self._known[host], part, crash, broken_s, self.now_s
            )

    def _pending(self, host):
        pending_s = {}
        for broken_s, parts in self._breaks[host].values():
            for part in parts:
                pending_s.setdefault(part, []).append(broken_s)
        return pending_s

    def _hello(self, host):
        message = exchange.to_message(self._known[host], self.now_s, False)
        for known in self._known:
            is_other = known is not self._known[host]
            if is_other and self._draw.random() >= _LOSS:
                exchange.record_message(known, message, self.now_s)
        self._at(self.now_s + _HELLO_S, self._hello, host)

    def _refresh(self, host):
        evidence.expire(self._known[host], self.now_s)
        suspects.quarantine_suspects(self._known[host], self.now_s)
        self._at(self.now_s + _REFRESH_S, self._refresh, host)
