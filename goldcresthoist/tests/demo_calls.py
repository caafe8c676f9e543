"""The steps of the demo: their calls and the expected responses."""

import hashlib
import random
import threading

from goldcresthoist.tests.builders import wait_until
from goldcresthoist.tests.fleet import call

__all__ = ["STEPS"]

# Number of calls by kind; each operation is an at-most-once call that is sent twice.
READ_COUNT = 110
REPEATABLE_COUNT = 44
OPERATION_COUNT = 12
UPLOAD_BYTES = 3_000_000
FIRST_PART_BYTES = 1_300_000
SLOW_READ_MS = 1500
SEED = 7


def _entry_targets(fleet, count):
    """Return ``count`` targets in rotation; calls are sent to their daemons."""
    return [fleet.targets[index % len(fleet.targets)] for index in range(count)]


def reads(fleet, recorder, pool):
    """Send reads through every daemon; each response names its own request."""

    def read(index, target):
        path = f"/recordings/{index}?tag={index * 7919}"
        answer = recorder.timed(
            call, target.caller_address, "GET", f"/listening-room{path}", None
        )
        matches = answer.status == 200 and answer.document()["target"] == path
        recorder.expect(matches, f"read {path} via {target.name}: {_summary(answer)}")

    list(pool.map(read, range(READ_COUNT), _entry_targets(fleet, READ_COUNT)))


def repeatable(fleet, recorder, pool):
    """Send repeatable work; each response has the body of its own request."""

    def put(index, target):
        body = random.Random(index).randbytes(1000 + 50 * index)
        path = f"/ledger/annotations/{index}?echo=1"
        answer = recorder.timed(call, target.caller_address, "PUT", path, body)
        matches = answer.status == 200 and answer.body == body
        recorder.expect(
            matches, f"repeatable {path} via {target.name}: {_summary(answer)}"
        )

    list(
        pool.map(put, range(REPEATABLE_COUNT), _entry_targets(fleet, REPEATABLE_COUNT))
    )


def at_most_once(fleet, recorder, pool):
    """Send each operation twice, through different daemons; it runs once."""
    entries = _entry_targets(fleet, OPERATION_COUNT + 1)

    def operate(index):
        headers = {"Idempotency-Key": f"accession-{index}"}
        responses = [
            recorder.timed(
                call,
                entry.caller_address,
                "POST",
                "/ledger/accessions",
                b"item",
                headers,
            )
            for entry in entries[index : index + 2]
        ]
        first, repeat = responses
        # The slices compare the status and the body, but not the headers.
        same = first.status == 200 and repeat[::2] == first[::2]
        description = f"operation {index}: {_summary(first)}, repeat {_summary(repeat)}"
        recorder.expect(same, description)

    list(pool.map(operate, range(OPERATION_COUNT)))
    for index in range(OPERATION_COUNT):
        execution_count = _execution_count(fleet, "ledger", f"accession-{index}")
        recorder.expect(
            execution_count == 1, f"operation {index} ran {execution_count} times"
        )


def keys(fleet, recorder, pool):
    """Use idempotency keys wrongly, and use the key of a cancelled operation."""
    address = fleet.targets[0].caller_address

    def post(body, headers, status, code):
        answer = recorder.timed(
            call, address, "POST", "/ledger/accessions", body, headers
        )
        _expect_refusal(recorder, answer, status, code)

    post(b"item", {}, 400, "key-required")
    post(b"other", {"Idempotency-Key": "accession-0"}, 409, "key-conflict")
    cancel = "/ledger/-/operations/accession-x/cancel"
    answer = recorder.timed(call, address, "POST", cancel)
    recorder.expect(answer.status == 200, f"cancel: {_summary(answer)}")
    post(b"item", {"Idempotency-Key": "accession-x"}, 410, "operation-cancelled")
    execution_count = _execution_count(fleet, "ledger", "accession-x")
    recorder.expect(
        execution_count == 0, f"cancelled operation ran {execution_count} times"
    )


def upload(fleet, recorder, pool):
    """Interrupt an upload and resume it through another daemon."""
    body = random.Random(SEED).randbytes(UPLOAD_BYTES)
    first, second = fleet.targets[0].caller_address, fleet.targets[-1].caller_address
    path = "/deposit-desk/deposits"
    key = {"Idempotency-Key": "deposit-1"}
    opening = key | {
        "Goldcrest-Upload-Length": str(len(body)),
        "Goldcrest-Upload-Digest": hashlib.sha256(body).hexdigest(),
    }
    answer = recorder.timed(call, first, "POST", path, None, opening)
    recorder.expect(answer.status in (200, 201, 202), f"open: {_summary(answer)}")
    part = body[:FIRST_PART_BYTES]
    recorder.timed(call, first, "PATCH", path, part, key | _offset(0))
    answer = recorder.timed(call, second, "HEAD", path, None, key)
    offset = int(answer.headers.get("goldcrest-upload-offset", -1))
    recorder.expect(offset == FIRST_PART_BYTES, f"offset {offset}: {_summary(answer)}")
    # Bytes before the stored offset are accepted, since a caller repeats them when a
    # response was lost. A part that leaves a gap is refused.
    gap = key | _offset(FIRST_PART_BYTES + 5)
    refused = recorder.timed(call, second, "PATCH", path, b"x", gap)
    _expect_refusal(recorder, refused, 409, "upload-offset")
    remaining = body[max(offset, 0) :]
    answer = recorder.timed(
        call, second, "PATCH", path, remaining, key | _offset(offset)
    )
    complete = answer.status == 200 and answer.document()["received"] == len(body)
    recorder.expect(complete, f"last part: {_summary(answer)}")
    execution_count = _execution_count(fleet, "deposit-desk", "deposit-1")
    recorder.expect(execution_count == 1, f"upload ran {execution_count} times")


def plain_upload(fleet, recorder, pool):
    """Send an upload in a single request."""
    body = random.Random(SEED + 1).randbytes(200_000)
    headers = {"Idempotency-Key": "deposit-2"}
    answer = recorder.timed(
        call,
        fleet.targets[3].caller_address,
        "POST",
        "/deposit-desk/deposits?echo=1",
        body,
        headers,
    )
    matches = answer.status == 200 and answer.body == body
    recorder.expect(matches, f"plain upload: {_summary(answer)}")


def unknown(fleet, recorder, pool):
    """Send requests for an unknown service and for unknown work."""
    address = fleet.targets[1].caller_address
    answer = recorder.timed(call, address, "GET", "/reading-room/books/1")
    _expect_refusal(recorder, answer, 404, "unknown-service")
    answer = recorder.timed(call, address, "DELETE", "/ledger/entries/1")
    _expect_refusal(recorder, answer, 404, "unknown-work")


def crash(fleet, recorder, pool):
    """Repeat a request that crashes upstreams; at most two of them crash."""
    targets = fleet.targets_of_service("listening-room")
    path = "/listening-room/recordings/9?fault=crash"
    for entry in (fleet.targets[0], fleet.targets[-1], fleet.targets[5]):
        answer = recorder.timed(call, entry.caller_address, "GET", path)
        expected = answer.refusal_code() in ("upstream-failed", "crash-suspect")
        recorder.expect(expected, f"crash: {_summary(answer)}")
    _expect_refusal(recorder, answer, 422, "crash-suspect")
    crashed = [target for target in targets if not target.upstream.is_running()]
    recorder.expect(len(crashed) <= 2, f"{len(crashed)} upstreams crashed")
    for target in crashed:
        target.start_upstream()
        wait_until(target.upstream_responds, f"{target.name} responds again")


def drain(fleet, recorder, pool):
    """Stop a daemon while slow calls run; none of them is interrupted."""
    stopping = fleet.targets_of_service("ledger")[0]
    other_targets = [target for target in fleet.targets if target is not stopping]
    started = threading.Semaphore(0)

    def slow(index):
        path = f"/entries/{index}?ms={SLOW_READ_MS}"
        started.release()
        entry = other_targets[index % len(other_targets)]
        answer = recorder.timed(call, entry.caller_address, "GET", f"/ledger{path}")
        matches = answer.status == 200 and answer.document()["target"] == path
        recorder.expect(
            matches, f"slow read {path} via {entry.name}: {_summary(answer)}"
        )

    calls = [pool.submit(slow, index) for index in range(8)]
    for _ in calls:
        started.acquire()
    stopping.daemon.terminate()
    for future in calls:
        future.result()
    status = stopping.daemon.wait()
    recorder.expect(status == 0, f"{stopping.name} ended with exit status {status}")
    stopping.start_daemon()
    wait_until(lambda: stopping.health() == 200, f"{stopping.name} is ready again")


def status(fleet, recorder, pool):
    """Run operator commands and fetch the metrics."""
    settings = ("--settings", fleet.targets[0].settings_path)
    for arguments, expected in (
        (("status",), "archive version 1"),
        (("config", "history", "archive"), "demo"),
        (("operations", "list"), ""),
    ):
        code, output = recorder.timed(fleet.command, *arguments, *settings)
        as_expected = code == 0 and expected in output
        recorder.expect(
            as_expected, f"{' '.join(arguments)}: exit status {code}: {output}"
        )
    metrics = call(fleet.targets[0].operator_address, "GET", "/metrics").body
    recorder.expect(b"goldcresthoist_refusals_total" in metrics, "metrics are missing")


# Name of each step, and its function of the fleet, the `Recorder` of its results and a
# thread pool.
STEPS = (
    ("read", reads),
    ("repeatable", repeatable),
    ("at-most-once, each sent twice", at_most_once),
    ("wrong keys, cancelled operation", keys),
    ("upload with resume", upload),
    ("upload in one request", plain_upload),
    ("unknown service and work", unknown),
    ("request that crashes upstreams", crash),
    ("read after the crashes", reads),
    ("drain during slow reads", drain),
    ("status, history, operations", status),
)


def _offset(value):
    return {"Goldcrest-Upload-Offset": str(value)}


def _execution_count(fleet, service, key):
    return sum(
        target.upstream_runs(key) for target in fleet.targets_of_service(service)
    )


def _expect_refusal(recorder, answer, status, code):
    as_expected = (answer.status, answer.refusal_code()) == (status, code)
    recorder.expect(as_expected, f"expected {status} {code}, got {_summary(answer)}")


def _summary(answer):
    code = answer.refusal_code() or ""
    return f"status {answer.status} {code} {answer.body[:120]!r}"
