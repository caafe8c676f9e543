"""Weighted distribution of a route's requests among its services."""

import random

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    After any number of requests each service is within one request of its share, which
    random selection does not guarantee. The initial values of `current_weights` are
    random, so that daemons which have received few requests do not all select the same
    service first.

    Parameters
    ----------
    weighted_services : sequence of `WeightedService`
    rng : random.Random, optional
        Source of the initial values of `current_weights`.

    Attributes
    ----------
    current_weights : list of float
        Current weight of each service. Every request adds to it the weight of the
        service; the service with the largest current weight is selected, and the sum of
        all weights is subtracted from its current weight.
    """

    def __init__(self, weighted_services, rng=None):
        rng = rng or random.Random()
        self.weighted_services = weighted_services
        self.total_weight = sum(service.weight for service in weighted_services)
        self.current_weights = [
            rng.uniform(0.0, self.total_weight) for _ in weighted_services
        ]

    def next(self):
        """Return the `WeightedService` that serves the next request."""
        best = 0
        for index, service in enumerate(self.weighted_services):
            self.current_weights[index] += service.weight
            if self.current_weights[index] > self.current_weights[best]:
                best = index
        self.current_weights[best] -= self.total_weight
        return self.weighted_services[best]
