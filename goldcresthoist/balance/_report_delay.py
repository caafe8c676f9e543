"""Estimation of how long a load report was delayed on its way."""

__all__ = ["clock_ms", "report_delay_s"]

# Time stamps are milliseconds modulo 65,536. A difference of two of them counts as
# negative from half of that range on.
CLOCK_MASK = 0xFFFF
HALF_RANGE = 0x8000
# After this time without a report, the clock offset is measured anew, since the peer
# may have restarted with another clock.
RESET_AFTER_S = 1.0
# The clock offset is a minimum and would never grow by itself, so it is raised by 1 ms
# per interval. It then follows clocks whose rates differ by up to 100 ppm.
DRIFT_INTERVAL_S = 10.0


def clock_ms(now):
    """Convert monotonic seconds to the 16-bit millisecond time stamp of a report."""
    return int(now * 1000.0) & CLOCK_MASK


def report_delay_s(view, at_ms, now):
    """Return the delay of a report relative to the fastest one, in seconds.

    The clocks of two instances differ by an unknown offset. The smallest difference
    seen between the arrival time and ``at_ms`` is taken as that offset, and any excess
    over it as delay.

    Parameters
    ----------
    view : UpstreamView
        The upstream that sent the report. Its clock offset is updated.
    at_ms : int
        Time stamp of the report; negative when it has none.
    now : float
        Arrival time in monotonic seconds.
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
