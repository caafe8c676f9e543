"""The failure domains to which the operator wants nothing to be sent."""

from goldcresthoist.platform import DRAINED_DOMAIN_PREFIX, decode_drained_domain

__all__ = ["DrainedDomains"]

# First key after those with the prefix.
_END_KEY = DRAINED_DOMAIN_PREFIX[:-1] + chr(ord(DRAINED_DOMAIN_PREFIX[-1]) + 1)


class DrainedDomains:
    """Keeps the newest known set of drained failure domains.

    Watchers of the store read the rows; the other daemons learn the set from the
    version reports of the watchers.

    Attributes
    ----------
    domains : frozenset of str
    revision : int
        Version of the store at the last change of the set; -1 while no set is known.
    on_change : callable or None
        Called without arguments after each change of ``domains``.
    """

    def __init__(self):
        self.domains = frozenset()
        self.revision = -1
        self.on_change = None

    def apply_rows(self, page):
        """Apply a `RowPage` that was read from a key before those of the domains.

        A page that ends before the last of these rows is ignored, as is one that is
        older than the known set.
        """
        incomplete = page.next_key and page.next_key < _END_KEY
        if incomplete or page.version < self.revision:
            return
        domains = frozenset(
            domain
            for row in page.rows
            if not row.removed and (domain := decode_drained_domain(row)) is not None
        )
        # The revision stays that of the last change as long as nothing has changed.
        if domains != self.domains or self.revision < 0:
            self._replace(domains, page.version)

    def apply_changes(self, page):
        """Apply a `RowPage` with changes of rows, in the order of their versions.

        Changes up to the known revision are ignored: a report of another watcher has
        brought them. Without a known set they say nothing of the other domains.
        """
        if self.revision < 0:
            return
        domains, revision = self.domains, self.revision
        for row in sorted(page.rows, key=lambda row: row.version):
            if row.version <= self.revision:
                continue
            if not row.key.startswith(DRAINED_DOMAIN_PREFIX):
                continue
            domain = row.key.removeprefix(DRAINED_DOMAIN_PREFIX)
            changed = domains - {domain}
            if not row.removed and decode_drained_domain(row) is not None:
                changed |= {domain}
            if changed != domains:
                domains, revision = changed, row.version
        if revision != self.revision:
            self._replace(domains, revision)

    def merge(self, domains, revision):
        """Apply the set that another daemon has reported, if it is newer."""
        if revision > self.revision:
            self._replace(frozenset(domains), revision)

    def _replace(self, domains, revision):
        is_change = domains != self.domains
        self.domains = domains
        self.revision = revision
        if is_change and self.on_change is not None:
            self.on_change()
