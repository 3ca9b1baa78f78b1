"""Subcommands of the program, one module for each group."""
