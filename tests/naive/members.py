"""Naive members: every entry host hears every host and every report."""


class NaiveMembers:
    """Hold the newest word of each host itself."""

    def __init__(self):
        self.reports = {}

    def record(self, host):
        """Take over what a host says of itself, at once and without loss."""
        known = self.reports.get(host.host_id, (0, ''))
        if host.incarnation < known[0]:
            return
        is_leaving = known == (host.incarnation, 'leaving')
        state = 'leaving' if is_leaving else host.state
        self.reports[host.host_id] = (host.incarnation, state)

    def state(self, host_id, alive):
        """Return what all entry hosts must settle on."""
        state = self.reports[host_id][1]
        return state if alive or state == 'leaving' else 'suspected'
