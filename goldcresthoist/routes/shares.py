"""Distribution of the requests of a route among its services."""

import random

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Gives each part of a route its share, with the least possible deviation.

    Smooth weighted round robin: after any number of requests each part is within one
    request of its share, unlike with random choice. It starts at a random point, so
    that daemons which have seen few requests do not all choose the same part first.
    """

    def __init__(self, weighted_services, rng=None):
        rng = rng or random.Random()
        self.weighted_services = weighted_services
        self.total_weight = sum(service.weight for service in weighted_services)
        self.current_weights = [
            rng.uniform(0.0, self.total_weight) for _ in weighted_services
        ]

    def next(self):
        """Return the part for the next request."""
        best = 0
        for index, service in enumerate(self.weighted_services):
            self.current_weights[index] += service.weight
            if self.current_weights[index] > self.current_weights[best]:
                best = index
        self.current_weights[best] -= self.total_weight
        return self.weighted_services[best]
