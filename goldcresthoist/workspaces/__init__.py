"""Workspaces: the organisations on whose behalf callers send requests, and their keys.

A workspace is identified by the key in a request. Its name is passed on, the key is
not. This package performs no I/O.
"""

from goldcresthoist.workspaces.directory import (
    Anonymous,
    Identified,
    Rejected,
    WorkspaceDirectory,
)
from goldcresthoist.workspaces.model import Workspace
from goldcresthoist.workspaces.priorities import combined_priority

__all__ = [
    "Anonymous",
    "Identified",
    "Rejected",
    "Workspace",
    "WorkspaceDirectory",
    "combined_priority",
]
