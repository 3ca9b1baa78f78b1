"""Naive configuration: keep every record for ever, the last accepted wins."""

import json


class NaiveConfiguration:
    """Hold all records ever appended and fold them from the first one."""

    def __init__(self):
        self.values = []

    def append(self, value):
        """Add a record and return its offset."""
        self.values.append(json.loads(json.dumps(value)))
        return len(self.values) - 1

    def accepted(self, before=None):
        """Return the offsets accepted among the records before an offset."""
        offsets = []
        for offset, value in enumerate(self.values[:before]):
            in_force = offsets[-1] if offsets else -1
            is_publish = value.get('kind') == 'publish'
            if is_publish and value['based_on'] == in_force and value['valid']:
                offsets.append(offset)
        return offsets

    def fleet(self, offset):
        """Return the name that the configuration at an offset carries."""
        return self.values[offset]['base']['fleet']
