"""Command line interface of goldcresthoist."""

from goldcresthoist.cli._main import main

__all__ = ["main"]
