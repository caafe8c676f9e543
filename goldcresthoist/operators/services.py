"""What the pages need from the daemon.

All methods may raise `OperatorsError`.
"""

from typing import Protocol

__all__ = ["ConfigurationService", "OperationsService", "StatusProvider"]


class StatusProvider(Protocol):
    """State of the daemon."""

    def status(self):
        """Return the `Status` now."""


class ConfigurationService(Protocol):
    """Checks, applies and shows configuration."""

    async def check(self, content):
        """Raise `InvalidRequest` when this `TeamConfiguration` cannot be applied.

        The usual reason is a service name that another team has.
        """

    async def differences(self, content):
        """Return ``(current version, lines)``; the version is 0 for a new team."""

    async def apply(self, content, expected_version, author):
        """Make the next version and return an `ApplyReport`.

        Raises
        ------
        Conflict
            When the current version is not the expected one. The details tell what the
            other operator changed.
        """

    async def show(self, team):
        """Return the current `ConfigurationRecord` of a team."""

    async def history(self, team):
        """Return the `HistoryEntry` items of a team, newest first."""


class OperationsService(Protocol):
    """Shows and settles at-most-once operations."""

    async def list_unknown(self, service):
        """Return `OperationRecord` items; ``service`` is a name or None for all."""

    async def show(self, service, key):
        """Return one `OperationRecord`."""

    async def settle(self, service, key, settlement):
        """Record an operator's `Settlement` and return the `OperationRecord`.

        Raises
        ------
        Conflict
            When the operation is not unknown.
        """
