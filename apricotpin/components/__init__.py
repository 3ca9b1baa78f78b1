"""Components, one folder for each service."""
