"""Stand-ins for the platform's services, each an HTTP server process."""
