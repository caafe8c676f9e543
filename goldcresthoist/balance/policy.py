"""Policies: frozen data that the objects of this package match on."""

from dataclasses import dataclass

from goldcresthoist.balance.errors import UnknownPolicy

__all__ = ["Default", "Naive", "Policy", "policy_named"]


@dataclass(frozen=True, slots=True)
class Naive:
    """Uniform random choice, retries on every error, no limits.

    The base that the other policies are measured against.
    """

    name: str = "naive"


@dataclass(frozen=True, slots=True)
class Default:
    """Two random choices by known load, with limits. Times are in seconds."""

    name: str = "default"
    # Above the first share of an upstream's slots, calls begin to overflow to a farther
    # domain; above the second, all do.
    overflow_from_share: float = 0.5
    overflow_all_share: float = 1.05
    # A report that is this old counts half; the rest is the mean of the pool.
    report_half_life_s: float = 0.1
    # An upstream this many times slower than the pool has no spare capacity.
    slow_ratio: float = 2.0
    # Without new calls, a slow upstream is forgiven half of its delay in this time.
    slowness_half_life_s: float = 4.0
    # One straggler must not make a healthy upstream look slow.
    slowness_sample_limit: float = 8.0
    slow_start_s: float = 5.0
    failures_to_eject: int = 3
    ejection_s: float = 1.0
    ejection_limit_s: float = 30.0
    # Share of slots that long work is given even while short work waits, so that
    # short work alone cannot starve it.
    long_minimum_share: float = 0.25
    # Multiple of the usual time that a call may be expected to wait for a slot.
    wait_multiple: float = 4.0
    # Short work that runs longer than this multiple of its usual time counts as long.
    short_multiple: float = 4.0


Policy = Naive | Default


def policy_named(name):
    """Return the policy of that name with its default parameters."""
    match name:
        case "naive":
            return Naive()
        case "default":
            return Default()
        case _:
            raise UnknownPolicy(f"policy {name!r}: expected 'naive' or 'default'")
