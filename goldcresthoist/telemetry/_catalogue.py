"""Names, label values and descriptions of the metrics."""

REFUSAL_CODES = (
    "bad-request",
    "headers-too-large",
    "unknown-service",
    "unknown-work",
    "key-required",
    "key-conflict",
    "saturated",
    "draining",
    "no-upstream",
    "not-ready",
    "store-unavailable",
    "deadline-exceeded",
    "crash-suspect",
    "upstream-failed",
    "operation-running",
    "operation-unknown",
    "operation-cancelled",
    "upload-offset",
    "upload-digest",
)

RETRY_REASONS = (
    "saturated",
    "draining",
    "not-ready",
    "broken",
    "crashed",
    "link-closed",
    "connect-failed",
    "failed-status",
    "no-upstream",
    "timed-out",
)

# Label values that a counter may have; any other value is counted as "other".
ALLOWED_VALUES = {
    ("refusals", "code"): frozenset(REFUSAL_CODES),
    ("retries", "reason"): frozenset(RETRY_REASONS),
}

METRICS = {
    "refusals": "Requests refused, by code.",
    "retries": "Calls sent to another upstream, by reason.",
    "retries_denied": "Retries and hedges not made because the budget was used up.",
    "hedges": "Second copies of slow reads, by service.",
    "calls": "Requests of callers answered, by service, work and status class.",
    "call_seconds": "Time from a request to the end of its answer, by work.",
    "links_opened": "Connections to and from other daemons that were authenticated.",
    "links_closed": "Connections to other daemons that ended, by reason.",
    "links_rejected": "Connections that failed the handshake, by reason.",
    "link_connects_failed": "Connections to other daemons that could not be made.",
    "answers_cut": "Answers cut off because the upstream's answer did not end.",
    "caller_connections_timed_out": "Connections of callers closed for being idle.",
    "datagrams_dropped": "Gossip datagrams dropped, by reason.",
    "gossip_bytes": "Bytes of gossip, by direction.",
    "upstreams_ejected": "Upstreams ejected after consecutive failures, by service.",
    "upstream_crashes": "Crashes of the own upstream during a call.",
    "crash_suspects": "Requests marked as crash suspects.",
    "store_errors": "Failed calls to the table or the object store, by store and kind.",
    "configuration_versions": "Configurations put in force, by team.",
    "configuration_rejected": "Configurations not put in force, by reason.",
    "operations_started": "At-most-once operations started, by service.",
    "operations_unknown": "Operations whose result is not known, by service.",
    "upload_bytes": "Bytes of uploads accepted, by service.",
    "drain_cut": "Requests cut off by the drain limit.",
    "operator_requests": "Requests of operators, by page and status.",
    "members": "Known daemons, by state.",
    "in_flight": "Calls that run at the own upstream.",
    "queued": "Calls that wait for a slot of the own upstream.",
    "ready": "1 when the daemon takes calls, else 0.",
}
