"""Simulated log service with one stream."""

from apricotpin.helpers.log_client import LogPage, LogRecord


class ModelLog:
    """Track the records of a stream, including expired ones."""

    __slots__ = ('earliest_offset', 'history')

    def __init__(self):
        self.history = []
        self.earliest_offset = 0

    @property
    def next_offset(self):
        """Return the offset of the next record."""
        return len(self.history)

    def append(self, values, now_s):
        """Append values and return the first offset."""
        first_offset = len(self.history)
        for index, value in enumerate(values):
            offset = first_offset + index
            self.history.append(LogRecord(offset, int(now_s * 1000), value))
        return first_offset

    def page(self, from_offset, limit):
        """Return at most limit records, starting at an offset."""
        first_offset = max(from_offset, self.earliest_offset)
        return LogPage(
            self.history[first_offset : first_offset + limit],
            self.earliest_offset,
            self.next_offset,
        )

    def expire(self, before_s):
        """Remove records that were appended before a time."""
        while self.earliest_offset < len(self.history):
            if (
                self.history[self.earliest_offset].appended_ms
                >= before_s * 1000
            ):
                return
            self.earliest_offset += 1
