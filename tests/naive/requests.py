"""Naive versions of the decisions on requests, for comparisons in tests."""

from apricotpin.const import HOST_LIVE, HOST_SUSPECTED


def next_round_robin(hosts, service_name, turn):
    """Return the next live host in turn, regardless of its load."""
    live = [
        host
        for host in hosts
        if host.service_name == service_name and host.state == HOST_LIVE
    ]
    return live[turn % len(live)] if live else None


def candidates(hosts, service_name, data_centre, version, suspected):
    """Return the hosts that may be selected."""
    of_service = [host for host in hosts if host.service_name == service_name]
    trusted = [host for host in of_service if host.host_id not in suspected]
    usable = [host for host in trusted if version in {'', host.version}]
    for state in (HOST_LIVE, HOST_SUSPECTED):
        found = [host for host in usable if host.state == state]
        local = [host for host in found if host.data_centre == data_centre]
        if found:
            return local or found
    return []


def respond_without_retry(outcomes):
    """Return the decision after one attempt, whatever its outcome."""
    return 'answer' if outcomes[0].verdict.value == 'answered' else 'fail'
