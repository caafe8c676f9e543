"""The failure domains to which the operator wants nothing to be sent."""

from goldcresthoist.clock import monotonic
from goldcresthoist.platform import (
    DRAINED_DOMAIN_PREFIX,
    StorePosition,
    decode_drained_domain,
)

__all__ = ["DrainedDomains"]

# First key after those with the prefix.
_END_KEY = DRAINED_DOMAIN_PREFIX[:-1] + chr(ord(DRAINED_DOMAIN_PREFIX[-1]) + 1)
# When the store has been restored, the operator writes again what is lost. Domains that
# were drained before and are not listed any more stay drained for this time.
KEPT_S = 10.0


class DrainedDomains:
    """Keeps the newest known set of drained failure domains.

    Watchers of the store read the rows; the other daemons learn the set from the
    version reports of the watchers.

    Attributes
    ----------
    listed : frozenset of str
        Domains that the store lists.
    kept : frozenset of str
        Domains that were drained before the store was restored, and are drained until
        the monotonic time ``kept_until`` although the store does not list them.
    position : StorePosition
        Position of the store at the last change of ``listed``, or at the first page of
        its era. The version is -1 while no set is known.
    on_change : callable or None
        Called without arguments after each change of ``domains``.
    """

    def __init__(self):
        self.listed = frozenset()
        self.kept = frozenset()
        self.kept_until = 0.0
        self.position = StorePosition(0, -1)
        self.on_change = None

    @property
    def domains(self):
        """The drained domains, as a frozenset."""
        return self.listed | self.kept

    def apply_rows(self, page):
        """Apply a `RowPage` that was read from a key before those of the domains.

        A page that ends before the last of these rows is ignored, as is one that is
        older than the known set.
        """
        incomplete = page.next_key and page.next_key < _END_KEY
        if incomplete or page.position < self.position:
            return
        listed = frozenset(
            domain
            for row in page.rows
            if not row.removed and (domain := decode_drained_domain(row)) is not None
        )
        # The position stays that of the last change as long as nothing has changed.
        if (
            listed != self.listed
            or self.position.version < 0
            or page.era > self.position.era
        ):
            self._replace(listed, page.position)

    def apply_changes(self, page):
        """Apply a `RowPage` with changes of rows, in the order of their versions.

        Changes up to the known position are ignored: a report of another watcher has
        brought them. Without a set of the same era they say nothing of the other
        domains.
        """
        if self.position.version < 0 or page.era != self.position.era:
            return
        listed, position, kept = self.listed, self.position, self.kept
        for row in sorted(page.rows, key=lambda row: row.version):
            row_position = StorePosition(page.era, row.version)
            if row_position <= self.position:
                continue
            if not row.key.startswith(DRAINED_DOMAIN_PREFIX):
                continue
            domain = row.key.removeprefix(DRAINED_DOMAIN_PREFIX)
            kept -= {domain}
            changed = listed - {domain}
            if not row.removed and decode_drained_domain(row) is not None:
                changed |= {domain}
            if changed != listed:
                listed, position = changed, row_position
        self._replace(listed, position, kept)

    def merge(self, listed, position):
        """Apply the set that another daemon has reported, if it is newer."""
        if position > self.position:
            self._replace(frozenset(listed), position)

    def expire_kept(self):
        """Drop the kept domains when their time is over."""
        if self.kept and monotonic() >= self.kept_until:
            self._replace(self.listed, self.position, frozenset())

    def _replace(self, listed, position, kept=None):
        before = self.domains
        if 0 < self.position.era < position.era:
            self.kept = before - listed
            self.kept_until = monotonic() + KEPT_S
        else:
            self.kept = (self.kept if kept is None else kept) - listed
        self.listed = listed
        self.position = position
        if self.domains != before and self.on_change is not None:
            self.on_change()
