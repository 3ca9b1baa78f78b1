"""Naive members: one table that receives every report without loss."""


class NaiveMembers:
    """Hold incarnation and state of each host's latest report of itself."""

    def __init__(self):
        self.reports = {}

    def record(self, host):
        """Record a host's report of itself, at once and without loss."""
        known = self.reports.get(host.host_id, (0, ''))
        if host.incarnation < known[0]:
            return
        is_leaving = known == (host.incarnation, 'leaving')
        state = 'leaving' if is_leaving else host.state
        self.reports[host.host_id] = (host.incarnation, state)

    def state(self, host_id, alive):
        """Return the state on which all entry hosts must converge."""
        state = self.reports[host_id][1]
        return state if alive or state == 'leaving' else 'suspected'
