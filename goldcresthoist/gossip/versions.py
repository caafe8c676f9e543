"""Configuration versions in force at this daemon, with digests for comparison."""

import hashlib
import struct
import zlib

from goldcresthoist.gossip.messages import Version

__all__ = ["BUCKETS", "VersionTable"]

# Number of groups of teams, each with a digest of its own.
BUCKETS = 64
_DIGESTS = struct.Struct(f">{BUCKETS}I")


class VersionTable:
    """Highest configuration version per team; versions never decrease."""

    def __init__(self):
        self.teams = {}
        self.buckets = [0] * BUCKETS
        self.digest = 0

    def put(self, version):
        """Record a version; return whether it is higher than the one held."""
        held = self.teams.get(version.team)
        if held is not None and held.version >= version.version:
            return False
        if held is not None:
            self._toggle_digest(held)
        self.teams[version.team] = version
        self._toggle_digest(version)
        return True

    def version_of(self, team):
        """Return the version number held for a team, 0 for none."""
        held = self.teams.get(team)
        return held.version if held else 0

    def newer(self, versions):
        """Return those of ``versions`` that are higher than the ones held."""
        return [v for v in versions if v.version > self.version_of(v.team)]

    def bucket_digests(self):
        """Return the digests of all buckets, 4 bytes each."""
        return _DIGESTS.pack(*self.buckets)

    def differing(self, digests):
        """Return the versions in the buckets that differ from a peer's digests."""
        if len(digests) != _DIGESTS.size:
            return list(self.teams.values())
        theirs = _DIGESTS.unpack(digests)
        changed = {n for n in range(BUCKETS) if theirs[n] != self.buckets[n]}
        return [v for v in self.teams.values() if _bucket_of(v.team) in changed]

    def _toggle_digest(self, version: Version):
        """Add a version to the digests or remove it: xor does both."""
        value = _hash(version)
        bucket = _bucket_of(version.team)
        self.buckets[bucket] ^= value
        self.digest ^= value


def _bucket_of(team):
    return zlib.crc32(team.encode()) % BUCKETS


def _hash(version):
    # A CRC is not suitable: it is linear, so the xor over two teams can stay the same
    # when the teams swap their version numbers.
    text = f"{version.team}\0{version.version}\0".encode()
    mac = hashlib.blake2b(text + version.digest, digest_size=4)
    return int.from_bytes(mac.digest())
