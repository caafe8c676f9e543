"""Interfaces that the request handlers need from the daemon.

All methods may raise `OperatorsError`.
"""

from typing import Protocol

__all__ = ["ConfigurationService", "OperationsService", "StatusProvider"]


class StatusProvider(Protocol):
    """State of the daemon."""

    def status(self):
        """Return the current `Status`."""


class ConfigurationService(Protocol):
    """Checks, applies and shows configuration."""

    async def check(self, content):
        """Raise `InvalidRequest` if this `TeamConfiguration` cannot be applied.

        The usual reason is a service name that belongs to another team.
        """

    async def differences(self, content):
        """Compare a `TeamConfiguration` with the current one.

        Returns ``(current version, lines)`` with one line for each difference. The
        version is 0 if the team has no configuration.
        """

    async def apply(self, content, expected_version, author):
        """Store the content as the next version and return an `ApplyReport`.

        Raises
        ------
        Conflict
            If the current version is not the expected one. The details list what other
            operators changed since the expected version.
        """

    async def show(self, team):
        """Return the current `ConfigurationRecord` of a team."""

    async def history(self, team):
        """Return the `HistoryEntry` items of a team, newest first."""


class OperationsService(Protocol):
    """Shows and settles at-most-once operations."""

    async def list_unknown(self, service):
        """Return an `OperationRecord` for each operation with an unknown outcome.

        ``service`` is the name of a service, or None for all services.
        """

    async def show(self, service, key):
        """Return the `OperationRecord` of one operation."""

    async def settle(self, service, key, settlement):
        """Record an operator's `Settlement` and return the `OperationRecord`.

        Raises
        ------
        Conflict
            If the outcome of the operation is known or it may still run.
        """
