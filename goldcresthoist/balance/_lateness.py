"""How late a load report is."""

__all__ = ["clock_ms", "report_delay_s"]

CLOCK_MASK = 0xFFFF
HALF_RANGE = 0x8000
# After this time without a report, the peer may be another process with another clock.
RESET_AFTER_S = 1.0
# The base rises by 1 ms in this time, which follows clocks that differ by 100 ppm.
DRIFT_INTERVAL_S = 10.0


def clock_ms(now):
    """Return monotonic seconds as the 16-bit milliseconds of a report."""
    return int(now * 1000.0) & CLOCK_MASK


def report_delay_s(view, at_ms, now):
    """Return how much later a report arrives than the fastest one, in seconds.

    The clocks of two instances differ by an unknown amount. The smallest difference
    seen between arrival and ``at_ms`` stands for a report without delay; whatever a
    report has on top of it is delay.
    """
    if at_ms < 0:
        return 0.0
    difference = (clock_ms(now) - at_ms) & CLOCK_MASK
    delay_ms = (difference - view.clock_offset_ms) & CLOCK_MASK
    unknown = view.clock_offset_ms < 0 or now - view.report_time > RESET_AFTER_S
    if unknown or delay_ms >= HALF_RANGE:
        view.clock_offset_ms = difference
        view.clock_drift_due = now + DRIFT_INTERVAL_S
        return 0.0
    if now >= view.clock_drift_due:
        view.clock_offset_ms = (view.clock_offset_ms + 1) & CLOCK_MASK
        view.clock_drift_due = now + DRIFT_INTERVAL_S
    return delay_ms / 1000.0
