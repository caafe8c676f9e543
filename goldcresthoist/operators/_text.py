"""Plain text format of the status page."""


def status_text(status):
    """Return a `Status` as lines of text for a terminal."""
    state = status.state + (f" ({status.reason})" if status.reason else "")
    lines = [
        f"instance        {status.instance}",
        f"failure domain  {status.failure_domain} in region {status.region}",
        f"service         {status.service}",
        f"state           {state}",
        f"version         {status.program_version}",
        f"uptime          {status.uptime_s:.0f} s",
        f"slots           {status.in_flight} of {status.slots} in use, "
        f"{status.queued} queued",
        f"members         {_pairs(status.members)}",
        f"stores          {_pairs(status.stores)}",
    ]
    lines.extend(
        f"configuration   {item.team} version {item.version} digest {item.digest[:12]}"
        for item in status.configurations
    )
    if not status.configurations:
        lines.append("configuration   none in force")
    lines.extend(f"upstream        {line}" for line in status.upstreams)
    lines.extend(
        f"counter         {name} {value:g}"
        for name, value in sorted(status.counters.items())
    )
    return "\n".join(lines) + "\n"


def _pairs(mapping):
    pairs = [f"{key} {value}" for key, value in sorted(mapping.items())]
    return ", ".join(pairs) or "unknown"
