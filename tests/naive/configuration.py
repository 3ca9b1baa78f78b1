"""Naive configuration: keeps every record and folds from the first one."""

import json


class NaiveConfiguration:
    """Hold the values of all records that were ever appended."""

    def __init__(self):
        self.values = []

    def append(self, value):
        """Add a record and return its offset."""
        self.values.append(json.loads(json.dumps(value)))
        return len(self.values) - 1

    def accepted(self, before=None):
        """Return the offsets of the accepted records before an offset."""
        offsets = []
        for offset, value in enumerate(self.values[:before]):
            in_force = offsets[-1] if offsets else -1
            is_publish = value.get('kind') == 'publish'
            if is_publish and value['based_on'] == in_force and value['valid']:
                offsets.append(offset)
        return offsets

    def fleet(self, offset):
        """Return the fleet name in the configuration at an offset."""
        return self.values[offset]['base']['fleet']
