"""Selection of the upstreams of a service to which a daemon keeps links."""

import hashlib
from bisect import insort

__all__ = ["UpstreamSubset"]

# Number of upstreams, per tier, that are in use at the same time: in the own failure
# domain, in the rest of the region and in other regions. The chooser compares six of
# each tier for a call, and a request is offered to five, so more of them do not make
# the choice much better. Each one costs a connection at both ends, and pings.
TIER_SIZES = (32, 16, 8)
DIGEST_BYTES = 8


class UpstreamSubset:
    """Selects a part of each tier by rendezvous hashing.

    Each daemon ranks the upstreams of a tier by a hash of its own address and theirs,
    and uses the first ones. All daemons together thus use each upstream about equally
    often, a daemon selects the same ones after a restart, and an upstream that is added
    or removed changes the selection of few daemons, by one place each. Upstreams that
    cannot be called stay selected, so that their return is noticed, and the next ones
    in the order are used in their place.

    Parameters
    ----------
    ip, failure_domain, region : str
        Address and location of this daemon.
    tier_sizes : tuple of int
        Number of upstreams to use in each tier.
    """

    def __init__(self, ip, failure_domain, region, tier_sizes=TIER_SIZES):
        self.ip = ip
        self.failure_domain = failure_domain
        self.region = region
        self.tier_sizes = tier_sizes
        # For each tier, pairs of hash and address in ascending order.
        self._tiers = tuple([] for _ in tier_sizes)
        self._tier_by_ip = {}

    def __len__(self):
        return len(self._tier_by_ip)

    def add(self, ip, failure_domain, region):
        """Add an upstream, or replace the location of one that was added before."""
        self.discard(ip)
        tier = self._tiers[self._tier_index(failure_domain, region)]
        self._tier_by_ip[ip] = tier
        insort(tier, self._entry(ip))

    def discard(self, ip):
        """Remove an upstream if present."""
        tier = self._tier_by_ip.pop(ip, None)
        if tier is not None:
            tier.remove(self._entry(ip))

    def select(self, down=()):
        """Return the addresses of the selected upstreams, nearest tier first.

        Parameters
        ----------
        down : collection of str
            Addresses of upstreams that cannot be called at present.
        """
        selected = []
        for tier, size in zip(self._tiers, self.tier_sizes):
            in_use = 0
            for _, ip in tier:
                if in_use == size:
                    break
                selected.append(ip)
                in_use += ip not in down
        return selected

    def _tier_index(self, failure_domain, region):
        if failure_domain == self.failure_domain:
            return 0
        return 1 if region == self.region else 2

    def _entry(self, ip):
        text = f"{self.ip} {ip}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), ip
