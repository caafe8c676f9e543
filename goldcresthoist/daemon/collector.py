"""Settings of Python's garbage collector for a low tail latency."""

import gc

__all__ = ["tune_collector"]

# Calls free their objects by reference counts; the collector only has to find the few
# cycles of errors and closed connections. A full collection takes milliseconds.
YOUNG_THRESHOLD = 50_000
OLD_THRESHOLD = 50


def tune_collector():
    """Leave what exists after start-up out of collections and make them rare."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, OLD_THRESHOLD, OLD_THRESHOLD)
