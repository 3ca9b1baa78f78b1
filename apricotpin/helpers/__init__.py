"""Functions and small classes that several components use."""
