"""Randomized soak test: daemon processes under load with injected faults."""
