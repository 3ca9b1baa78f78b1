"""Messages between services and between processes, as slotted classes."""
