"""JSON schemas of settings and configuration."""
