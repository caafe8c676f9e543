"""Distribution of the requests of a route among its services."""

import random

__all__ = ["ShareCounter"]


class ShareCounter:
    """Gives each part of a route its share, with the least possible deviation.

    Smooth weighted round robin: after any number of requests each part is within one
    request of its share, unlike with random choice. It starts at a random point, so
    that daemons which have seen few requests do not all choose the same part first.
    """

    def __init__(self, parts, rng=None):
        rng = rng or random.Random()
        self.parts = parts
        self.total = sum(part.weight for part in parts)
        self.credit = [rng.uniform(0.0, self.total) for _ in parts]

    def next(self):
        """Return the part for the next request."""
        best = 0
        for index, part in enumerate(self.parts):
            self.credit[index] += part.weight
            if self.credit[index] > self.credit[best]:
                best = index
        self.credit[best] -= self.total
        return self.parts[best]
