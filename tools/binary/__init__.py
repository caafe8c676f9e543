"""Modules for the build of the single-file program."""
