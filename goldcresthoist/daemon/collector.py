"""Settings of the Python garbage collector that keep the tail latency low."""

import gc

__all__ = ["tune_garbage_collector"]

# Objects of calls are freed by reference counting. Only errors and closed connections
# leave a few reference cycles for the collector, so it can run rarely. A full
# collection takes milliseconds.
GENERATION_0_THRESHOLD = 50_000
OLDER_THRESHOLD = 50


def tune_garbage_collector():
    """Exclude objects created during start-up from collections; make those rare."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GENERATION_0_THRESHOLD, OLDER_THRESHOLD, OLDER_THRESHOLD)
