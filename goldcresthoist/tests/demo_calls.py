"""The calls of the demo, and what each answer must be."""

import hashlib
import random
import threading

from goldcresthoist.tests.builders import wait_until
from goldcresthoist.tests.fleet import call

__all__ = ["STEPS"]

READS = 110
REPEATABLE = 44
OPERATIONS = 12
UPLOAD_BYTES = 3_000_000
FIRST_PART_BYTES = 1_300_000
SLOW_MS = 1500
SEED = 7


def _entries(fleet, count):
    """Return the targets whose daemons take the calls, in turn."""
    return [fleet.targets[index % len(fleet.targets)] for index in range(count)]


def reads(fleet, recorder, pool):
    """Reads through every daemon; each answer names its own request."""

    def read(index, target):
        path = f"/recordings/{index}?tag={index * 7919}"
        answer = recorder.timed(
            call, target.callers, "GET", f"/listening-room{path}", None
        )
        own = answer.status == 200 and answer.document()["target"] == path
        recorder.expect(own, f"read {path} via {target.name}: {_short(answer)}")

    list(pool.map(read, range(READS), _entries(fleet, READS)))


def repeatable(fleet, recorder, pool):
    """Repeatable work; each answer has the body of its own request."""

    def put(index, target):
        body = random.Random(index).randbytes(1000 + 50 * index)
        path = f"/ledger/annotations/{index}?echo=1"
        answer = recorder.timed(call, target.callers, "PUT", path, body)
        own = answer.status == 200 and answer.body == body
        recorder.expect(own, f"repeatable {path} via {target.name}: {_short(answer)}")

    list(pool.map(put, range(REPEATABLE), _entries(fleet, REPEATABLE)))


def at_most_once(fleet, recorder, pool):
    """Operations sent twice through different daemons; each runs once."""
    entries = _entries(fleet, OPERATIONS + 1)

    def operate(index):
        headers = {"Idempotency-Key": f"accession-{index}"}
        answers = [
            recorder.timed(
                call, entry.callers, "POST", "/ledger/accessions", b"item", headers
            )
            for entry in entries[index : index + 2]
        ]
        first, repeat = answers
        same = first.status == 200 and repeat[::2] == first[::2]
        what = f"operation {index}: {_short(first)}, repeat {_short(repeat)}"
        recorder.expect(same, what)

    list(pool.map(operate, range(OPERATIONS)))
    for index in range(OPERATIONS):
        runs = _runs(fleet, "ledger", f"accession-{index}")
        recorder.expect(runs == 1, f"operation {index} ran {runs} times")


def keys(fleet, recorder, pool):
    """Wrong use of keys, and a cancelled operation."""
    address = fleet.targets[0].callers

    def post(body, headers, status, code):
        answer = recorder.timed(
            call, address, "POST", "/ledger/accessions", body, headers
        )
        _expect_refusal(recorder, answer, status, code)

    post(b"item", {}, 400, "key-required")
    post(b"other", {"Idempotency-Key": "accession-0"}, 409, "key-conflict")
    cancel = "/ledger/-/operations/accession-x/cancel"
    answer = recorder.timed(call, address, "POST", cancel)
    recorder.expect(answer.status == 200, f"cancel: {_short(answer)}")
    post(b"item", {"Idempotency-Key": "accession-x"}, 410, "operation-cancelled")
    runs = _runs(fleet, "ledger", "accession-x")
    recorder.expect(runs == 0, f"cancelled operation ran {runs} times")


def upload(fleet, recorder, pool):
    """An upload that is interrupted and resumed through another daemon."""
    body = random.Random(SEED).randbytes(UPLOAD_BYTES)
    first, second = fleet.targets[0].callers, fleet.targets[-1].callers
    path = "/deposit-desk/deposits"
    key = {"Idempotency-Key": "deposit-1"}
    opening = key | {
        "Goldcrest-Upload-Length": str(len(body)),
        "Goldcrest-Upload-Digest": hashlib.sha256(body).hexdigest(),
    }
    answer = recorder.timed(call, first, "POST", path, None, opening)
    recorder.expect(answer.status in (200, 201, 202), f"open: {_short(answer)}")
    part = body[:FIRST_PART_BYTES]
    recorder.timed(call, first, "PATCH", path, part, key | _offset(0))
    answer = recorder.timed(call, second, "HEAD", path, None, key)
    offset = int(answer.headers.get("goldcrest-upload-offset", -1))
    recorder.expect(offset == FIRST_PART_BYTES, f"offset {offset}: {_short(answer)}")
    # Bytes before the stored offset are a repeat after a lost answer; a gap is not.
    gap = key | _offset(FIRST_PART_BYTES + 5)
    wrong = recorder.timed(call, second, "PATCH", path, b"x", gap)
    _expect_refusal(recorder, wrong, 409, "upload-offset")
    rest = body[max(offset, 0) :]
    answer = recorder.timed(call, second, "PATCH", path, rest, key | _offset(offset))
    whole = answer.status == 200 and answer.document()["received"] == len(body)
    recorder.expect(whole, f"last part: {_short(answer)}")
    runs = _runs(fleet, "deposit-desk", "deposit-1")
    recorder.expect(runs == 1, f"upload ran {runs} times")


def plain_upload(fleet, recorder, pool):
    """A body that is sent as one upload."""
    body = random.Random(SEED + 1).randbytes(200_000)
    headers = {"Idempotency-Key": "deposit-2"}
    answer = recorder.timed(
        call,
        fleet.targets[3].callers,
        "POST",
        "/deposit-desk/deposits?echo=1",
        body,
        headers,
    )
    own = answer.status == 200 and answer.body == body
    recorder.expect(own, f"plain upload: {_short(answer)}")


def unknown(fleet, recorder, pool):
    """Requests that no configuration covers."""
    address = fleet.targets[1].callers
    answer = recorder.timed(call, address, "GET", "/reading-room/books/1")
    _expect_refusal(recorder, answer, 404, "unknown-service")
    answer = recorder.timed(call, address, "DELETE", "/ledger/entries/1")
    _expect_refusal(recorder, answer, 404, "unknown-work")


def crash(fleet, recorder, pool):
    """A request that crashes upstreams, sent again by its caller."""
    targets = fleet.of_service("listening-room")
    path = "/listening-room/recordings/9?fault=crash"
    for entry in (fleet.targets[0], fleet.targets[-1], fleet.targets[5]):
        answer = recorder.timed(call, entry.callers, "GET", path)
        expected = answer.refusal() in ("upstream-failed", "crash-suspect")
        recorder.expect(expected, f"crash: {_short(answer)}")
    _expect_refusal(recorder, answer, 422, "crash-suspect")
    crashed = [target for target in targets if not target.upstream.is_running()]
    recorder.expect(len(crashed) <= 2, f"{len(crashed)} upstreams crashed")
    for target in crashed:
        target.start_upstream()
        wait_until(target.upstream_answers, f"{target.name} answers again")


def drain(fleet, recorder, pool):
    """A daemon that is stopped while slow calls run; none is interrupted."""
    stopping = fleet.of_service("ledger")[0]
    others = [target for target in fleet.targets if target is not stopping]
    started = threading.Semaphore(0)

    def slow(index):
        path = f"/entries/{index}?ms={SLOW_MS}"
        started.release()
        entry = others[index % len(others)]
        answer = recorder.timed(call, entry.callers, "GET", f"/ledger{path}")
        own = answer.status == 200 and answer.document()["target"] == path
        recorder.expect(own, f"slow read {path} via {entry.name}: {_short(answer)}")

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
    """The operator's view."""
    settings = ("--settings", fleet.targets[0].settings_path)
    for arguments, expected in (
        (("status",), "archive version 1"),
        (("config", "history", "archive"), "demo"),
        (("operations", "list"), ""),
    ):
        code, output = recorder.timed(fleet.command, *arguments, *settings)
        good = code == 0 and expected in output
        recorder.expect(good, f"{' '.join(arguments)}: exit status {code}: {output}")
    metrics = call(fleet.targets[0].operators, "GET", "/metrics").body
    recorder.expect(b"goldcresthoist_refusals_total" in metrics, "metrics are missing")


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


def _runs(fleet, service, key):
    return sum(target.upstream_runs(key) for target in fleet.of_service(service))


def _expect_refusal(recorder, answer, status, code):
    good = (answer.status, answer.refusal()) == (status, code)
    recorder.expect(good, f"expected {status} {code}, got {_short(answer)}")


def _short(answer):
    code = answer.refusal() or ""
    return f"status {answer.status} {code} {answer.body[:120]!r}"
