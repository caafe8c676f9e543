"""Formats the results of the benchmark as tables and as JSON."""

__all__ = ["deployment_document", "print_phases", "print_targets"]

COLUMNS = (
    ("p50_ms", "{:.0f}"),
    ("p99_ms", "{:.0f}"),
    ("p999_ms", "{:.0f}"),
    ("short_p99_ms", "{:.0f}"),
    ("service_weighted", "{:.3f}"),
    ("service_of_servable", "{:.3f}"),
    ("answers_per_s", "{:.0f}"),
    ("retry_share", "{:.3f}"),
    ("failing_share", "{:.4f}"),
    ("measuring_cpu_share", "{:.4f}"),
    ("measuring_byte_share", "{:.4f}"),
)


def deployment_document(measured):
    """Return the part of ``bench.json`` for one site.

    ``measured`` maps each policy to its summaries by phase and its read latencies.
    """
    policies = {}
    for policy, (phases, reads) in measured.items():
        policies[policy] = reads.summary() | {
            "measuring_cost_share": _measuring_cost(phases),
            "crest_service_weighted": _value_or_none(
                phases, "swing", "service_weighted"
            ),
            "short_behind_long_p99_ms": _value_or_none(
                phases, "short-behind-long", "short_p99_ms"
            ),
            "phases": phases,
        }
    return {"policies": policies}


def print_phases(site, measured):
    """Print one row for each phase and policy."""
    headings = [name.removesuffix("_ms") for name, _ in COLUMNS]
    print(f"\n{site}: latency of reads in ms")
    print(
        f"{'phase':18} {'policy':8} "
        + " ".join(f"{heading:>10.10}" for heading in headings)
    )
    for phase in next(iter(measured.values()))[0]:
        for policy, (phases, _) in measured.items():
            row = [
                _format_cell(phases[phase][name], format_spec)
                for name, format_spec in COLUMNS
            ]
            cells = " ".join(f"{cell:>10}" for cell in row)
            print(f"{phase:18} {policy:8} {cells}")


def print_targets(site, measured):
    """Print whether the default policy meets the targets of section 1.2.

    Prints nothing unless both policies were measured.
    """
    if set(measured) < {"naive", "default"}:
        return
    base, default = measured["naive"][0], measured["default"][0]
    for text, value, met in _targets(base, default):
        verdict = "met" if met else "MISSED"
        print(f"{site}: {text}: {value:.3f} {verdict}")


def _targets(base, default):
    """Yield the text, the value and the success of each target that was measured."""
    if "noisy-neighbour" in default:
        ratio = _ratio_to_naive(default, base, "noisy-neighbour", "p99_ms")
        yield (
            "p99 of reads, noisy neighbour, ratio to naive <= 0.333",
            ratio,
            (ratio <= 1 / 3),
        )
    if "swing" in default:
        ratio = _ratio_to_naive(default, base, "swing", "service_weighted")
        yield "service at peak, ratio to naive >= 1.5", ratio, ratio >= 1.5
        share = default["swing"]["service_of_servable"]
        yield "service at peak, share of servable >= 0.95", share, share >= 0.95
    if "short-behind-long" in default and "short-alone" in default:
        behind = default["short-behind-long"]["short_p99_ms"]
        ratio = behind / default["short-alone"]["short_p99_ms"]
        yield "p99 of short behind long, ratio to alone <= 1.3", ratio, ratio <= 1.3
    if "fails-fast" in default:
        share = default["fails-fast"]["failing_share"]
        yield "calls to the failing upstream < 0.02", share, share < 0.02
    share = max(summary["retry_share"] for summary in default.values())
    yield "retries and hedges, worst phase < 0.1", share, share < 0.1
    if "overload" in default:
        best = max(summary["answers_per_s"] for summary in default.values())
        share = default["overload"]["answers_per_s"] / best
        yield "answers a second at overload, share of best >= 0.9", share, share >= 0.9


def _ratio_to_naive(default, base, phase, name):
    return default[phase][name] / max(base[phase][name], 1e-9)


def _measuring_cost(phases):
    """Return the largest share that load measurement takes in any phase.

    It is a share of the bytes on links or of the processor time of the daemons.
    """
    shares = [
        max(summary["measuring_cpu_share"], summary["measuring_byte_share"])
        for summary in phases.values()
    ]
    return max(shares, default=None)


def _value_or_none(phases, phase, name):
    return phases[phase][name] if phase in phases else None


def _format_cell(value, format_spec):
    return "-" if value is None else format_spec.format(value)
