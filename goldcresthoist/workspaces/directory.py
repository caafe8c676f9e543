"""Identification of the workspace of a request by its key."""

from dataclasses import dataclass

from goldcresthoist.workspaces.model import Workspace

__all__ = ["Anonymous", "Identified", "Rejected", "WorkspaceDirectory"]


@dataclass(frozen=True, slots=True)
class Identified:
    """The key of the request belongs to a workspace."""

    workspace: Workspace


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The request needs no key, and has none that is known."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request needs a key, and has none that is known."""


class WorkspaceDirectory:
    """The workspaces of one configuration version, by key.

    Parameters
    ----------
    workspaces : iterable of Workspace

    Attributes
    ----------
    by_name : dict of str to Workspace
    """

    def __init__(self, workspaces):
        self.by_name = {item.name: item for item in workspaces}
        self._by_key = {
            key.encode(): item
            for item in self.by_name.values()
            for key in item.keys
            if key
        }

    def identify(self, key, public):
        """Return the workspace of a request.

        Parameters
        ----------
        key : bytes or None
            Key in the request.
        public : bool
            Whether the route of the request can be used without a key.

        Returns
        -------
        Identified, Anonymous or Rejected
        """
        workspace = self._by_key.get(key)
        if workspace is not None:
            return Identified(workspace)
        return Anonymous() if public else Rejected()
