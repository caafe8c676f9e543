"""Tests of the subsets of upstreams that the daemons of a large fleet use."""

import unittest
from collections import Counter

from goldcresthoist.balance import UpstreamSubset

# Daemons of the fleet by failure domain, and the upstreams of one service among them.
# They are as uneven as in the deployment with 195 instances.
DAEMONS = {"a": 38, "b": 42, "c": 39, "d": 38, "e": 38}
UPSTREAMS = {"a": 21, "b": 20, "c": 22, "d": 13, "e": 18}


def addresses(domain, count):
    """Return addresses in a failure domain."""
    return [f"10.{ord(domain)}.0.{number}" for number in range(count)]


def make_subset(ip, domain, upstreams=UPSTREAMS, region="r", **values):
    """Return the subset of a daemon that knows upstreams by failure domain."""
    subset = UpstreamSubset(ip, domain, region, **values)
    for other, count in upstreams.items():
        for address in addresses(other, count):
            subset.add(address, other, "r")
    return subset


def subsets_of_fleet():
    """Return the subset of each daemon by its address."""
    return {
        ip: make_subset(ip, domain)
        for domain, count in DAEMONS.items()
        for ip in addresses(domain, count)
    }


class UpstreamSubsetTest(unittest.TestCase):
    def test_near_upstreams_come_first_and_far_ones_are_limited(self):
        """Guards against a number of links that grows with the fleet."""
        selected = make_subset("10.97.0.1", "a").select()
        self.assertEqual(set(selected[:21]), set(addresses("a", 21)))
        self.assertEqual(len(selected), 21 + 16)
        large = make_subset("10.97.0.1", "a", dict.fromkeys("abcde", 200))
        self.assertEqual(len(large.select()), 32 + 16)
        remote = make_subset("10.97.0.1", "a", region="elsewhere")
        self.assertEqual(len(remote.select()), 21 + 8)

    def test_upstreams_are_used_by_similar_numbers_of_daemons(self):
        """Guards against herds: an upstream that most daemons use, and one that none.

        Each upstream of 73 to 81 in the other domains should be used by 16 / 77 of the
        daemons there, about 32. The bounds are half and twice of that.
        """
        uses = Counter()
        for subset in subsets_of_fleet().values():
            uses.update(subset.select()[UPSTREAMS[subset.failure_domain] :])
        far = [uses[ip] for d, n in UPSTREAMS.items() for ip in addresses(d, n)]
        self.assertGreaterEqual(min(far), 16)
        self.assertLessEqual(max(far), 64)

    def test_new_upstream_moves_few_others(self):
        """Guards against links that are all opened anew when members come and go.

        A new upstream may take one place at each daemon that selects it, and no other
        place may change.
        """
        changed = 0
        for subset in subsets_of_fleet().values():
            before = set(subset.select())
            subset.add("10.120.0.1", "c", "r")
            after = set(subset.select())
            self.assertLessEqual(len(before - after), 1)
            self.assertLessEqual(after - before, {"10.120.0.1"})
            changed += bool(after - before)
            subset.discard("10.120.0.1")
            self.assertEqual(set(subset.select()), before)
        self.assertGreater(changed, DAEMONS["c"])
        self.assertLess(changed, 120)

    def test_lost_domain_is_replaced_and_still_watched(self):
        """Guards against a daemon without upstreams after the loss of a domain."""
        subset = make_subset("10.97.0.1", "a")
        lost = set(addresses("a", 21)) | set(addresses("b", 20))
        selected = set(subset.select(lost))
        self.assertEqual(len(selected - lost), 16)
        self.assertLessEqual(set(subset.select()), selected)

    def test_selection_does_not_depend_on_the_order_of_additions(self):
        """Guards against another selection after each restart of a daemon."""
        subset = UpstreamSubset("10.97.0.1", "a", "r")
        for domain in reversed(UPSTREAMS):
            for address in reversed(addresses(domain, UPSTREAMS[domain])):
                subset.add(address, domain, "r")
        self.assertEqual(subset.select(), make_subset("10.97.0.1", "a").select())

    def test_upstream_that_moves_is_in_one_tier(self):
        """Guards against an upstream that stays selected at its old location."""
        subset = UpstreamSubset("10.97.0.1", "a", "r")
        subset.add("10.0.0.2", "a", "r")
        subset.add("10.0.0.2", "b", "r")
        self.assertEqual(subset.select(), ["10.0.0.2"])
        subset.discard("10.0.0.2")
        self.assertEqual(len(subset), 0)
