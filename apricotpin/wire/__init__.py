"""Interface definition of the protocol between apricotpin processes."""
