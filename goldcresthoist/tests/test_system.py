"""Tests of a fleet whose daemons, upstreams and stores are separate processes."""

import hashlib
import random
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from goldcresthoist.tests.builders import ROOT, wait_until
from goldcresthoist.tests.faults import (
    LoadGenerator,
    freeze,
    kill,
    outcome_of,
    replace_daemon,
    restart_daemon,
    resume,
    set_faults,
    table_calls,
    try_call,
)
from goldcresthoist.tests.fleet import Fleet, call

TEAM = "archive"
QUESTIONNAIRE = ROOT / "examples" / "archive.yaml"
TARGETS = {"listening-room": 3, "ledger": 3, "deposit-desk": 2}
# Service time of the operations whose serving daemon is killed or frozen while they
# run.
LONG_OPERATION_MS = 2500
# ``longest_ms`` of accessions in the questionnaire of the Archive.
ACCESSION_LONGEST_S = 20.0
ACCESSIONS = "/ledger/accessions"
DEPOSITS = "/deposit-desk/deposits"


def start_fleet(test_class):
    """Start a fleet in which the Archive's configuration is in force."""
    fleet = Fleet(TARGETS)
    test_class.addClassCleanup(fleet.__exit__)
    hints = [target.settings["gossip_address"] for target in fleet.targets]
    for target in fleet.targets:
        target.change_settings({"peer_hints": hints})
    fleet.start_all()
    apply(fleet)
    fleet.wait_until_ready(TEAM, 1)
    return fleet


def apply(fleet, questionnaire=QUESTIONNAIRE, base=0):
    """Apply a questionnaire with the command-line program."""
    settings = fleet.targets[0].settings_path
    status, output = fleet.command(
        *("config", "apply", questionnaire, "--base", base),
        *("--settings", settings, "--author", "test"),
    )
    if status:
        raise RuntimeError(f"config apply ended with status {status}: {output}")
    return output


def key_header(key):
    """Return the header with the key of an operation."""
    return {"Idempotency-Key": key}


class FleetTestCase(unittest.TestCase):
    """Test case with one fleet per class; each test restores what it stops."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = start_fleet(cls)

    def tearDown(self):
        # The logs of processes that ended with an error help to explain a failure.
        print(self.fleet.logs())

    def runs(self, service, key):
        """Return how often the upstreams of a service received an idempotency key."""
        targets = self.fleet.targets_of_service(service)
        return sum(target.upstream_runs(key) for target in targets)

    def running_target(self, service, key):
        """Wait until an operation runs; return the target that runs it."""
        targets = self.fleet.targets_of_service(service)

        def find_target():
            return next((t for t in targets if t.upstream_runs(key)), None)

        return wait_until(find_target, f"{key} runs")

    def accession(self, target, key, path="", body=b"item"):
        """Send one at-most-once call; return the response or None."""
        headers = key_header(key)
        return try_call(target.caller_address, "POST", ACCESSIONS + path, body, headers)

    def start_accession(self, entry, key, path):
        """Send an at-most-once call in a thread; return the future of its response."""
        pool = ThreadPoolExecutor(1)
        self.addCleanup(pool.shutdown)
        return pool.submit(self.accession, entry, key, path)

    def wait_for_answer(self, entry, key, path, expected):
        """Repeat a call until its refusal code or status is one of those expected."""

        def matching_answer():
            answer = self.accession(entry, key, path)
            code = answer and (answer.refusal_code() or answer.status)
            return answer if code in expected else None

        return wait_until(matching_answer, f"{key} is answered with one of {expected}")


class ManyCallsTest(FleetTestCase):
    """Guards against a response that belongs to another request.

    64 threads send 200 calls of every kind in random order through three daemons, so
    that many calls share the links between the daemons at the same time. The response
    to each call depends on its request and shows a mix-up.
    """

    def test_concurrent_calls_of_every_kind(self):
        rng = random.Random(11)
        kinds = (self._read, self._repeatable, self._at_most_once, self._upload)
        jobs = [(kind, number) for kind in kinds for number in range(50)]
        rng.shuffle(jobs)
        with ThreadPoolExecutor(64) as pool:
            answers = pool.map(lambda job: job[0](job[1]), jobs)
            problems = [problem for problem in answers if problem]
        self.assertEqual(problems, [])

    def _entry(self, number):
        return self.fleet.targets[3 * (number % 3)].caller_address

    def _check(self, description, answer, expected):
        if answer.status != 200 or answer.body != expected:
            return (
                f"{description}: {answer.status} {answer.refusal_code()} "
                f"{answer.body[:80]!r}"
            )
        return None

    def _read(self, number):
        target = f"/recordings/{number}?token={number * 31}"
        entry = self._entry(number)
        answer = call(entry, "GET", f"/listening-room{target}")
        if answer.status == 200 and answer.document()["target"] == target:
            return None
        return f"read {number}: {answer.status} {answer.body[:80]!r}"

    def _repeatable(self, number):
        body = random.Random(number).randbytes(100 + 997 * number)
        path = f"/ledger/annotations/{number}?echo=1"
        answer = call(self._entry(number), "PUT", path, body)
        return self._check(f"repeatable {number}", answer, body)

    def _at_most_once(self, number):
        body = random.Random(1000 + number).randbytes(300)
        headers = key_header(f"many-{number}")
        path = f"{ACCESSIONS}?echo=1"
        answer = call(self._entry(number), "POST", path, body, headers)
        return self._check(f"at-most-once {number}", answer, body)

    def _upload(self, number):
        body = random.Random(2000 + number).randbytes(20_000 + 3_000 * number)
        headers = key_header(f"many-upload-{number}")
        path = f"{DEPOSITS}?echo=1"
        answer = call(self._entry(number), "POST", path, body, headers)
        return self._check(f"upload {number}", answer, body)


class LostDaemonTest(FleetTestCase):
    """Guards against running an operation twice.

    Its serving daemon is killed or frozen when the upstream has received the request,
    but the daemon has not recorded the response. The operation is repeated through
    another daemon, which must not send it to an upstream again. Reads must not fail
    because of a killed daemon either.
    """

    def test_killed_daemon_leaves_the_operation_unknown(self):
        key, path = "killed", f"?ms={LONG_OPERATION_MS}"
        first, second = self.fleet.targets_of_service("deposit-desk")
        pending = self.start_accession(first, key, path)
        target = self.running_target("ledger", key)
        kill(target.daemon)
        answer = pending.result()
        self.assertIsNotNone(answer)
        self.assertEqual(outcome_of(answer)[0], "unknown")
        codes = ("operation-unknown", "operation-running")
        answer = self.wait_for_answer(second, key, path, codes)
        answer = self.wait_for_answer(second, key, path, ("operation-unknown",))
        self.assertEqual(outcome_of(answer), ("unknown", "operation"))
        self.assertEqual(self.runs("ledger", key), 1)
        restart_daemon(target, TEAM)
        self._settle(key)
        answer = self.accession(first, key, path)
        self.assertEqual((answer.status, answer.body), (201, b"done"))
        self.assertEqual(self.runs("ledger", key), 1)

    def _settle(self, key):
        settings = self.fleet.targets[0].settings_path
        flags = ("--settings", settings)
        status, output = self.fleet.command("operations", "list", *flags)
        self.assertEqual((status, key in output), (0, True), output)
        status, output = self.fleet.command(
            *("operations", "settle", "ledger", key, "ran", "--status", "201"),
            *("--body", "done", *flags),
        )
        self.assertEqual(status, 0, output)

    def test_frozen_daemon_does_not_lose_its_operation(self):
        key, path = "frozen", f"?ms={LONG_OPERATION_MS}"
        first, second = self.fleet.targets_of_service("deposit-desk")
        pending = self.start_accession(first, key, path)
        target = self.running_target("ledger", key)
        freeze(target.daemon)
        try:
            codes = ("operation-unknown", "operation-running")
            self.wait_for_answer(second, key, path, codes)
            answer = pending.result()
            self.assertEqual(outcome_of(answer)[0], "unknown")
        finally:
            resume(target.daemon)
        # Once resumed, the serving daemon records the response that the local upstream
        # sent while the daemon was frozen.
        answer = self.wait_for_answer(second, key, path, (200,))
        self.assertEqual(answer.document()["target"], f"/accessions{path}")
        self.assertEqual(self.runs("ledger", key), 1)

    def test_daemon_frozen_beyond_the_longest_time_does_not_lose_its_operation(self):
        """Guards against a response that is dropped because it was read too late.

        The local upstream responds while its daemon is frozen. The time that the rule
        allows passes before the daemon can read the response.
        """
        key, path = "long-frozen", f"?ms={LONG_OPERATION_MS}"
        first, second = self.fleet.targets_of_service("deposit-desk")
        pending = self.start_accession(first, key, path)
        target = self.running_target("ledger", key)
        freeze(target.daemon)
        try:
            time.sleep(ACCESSION_LONGEST_S + 1.0)
            self.assertIsNotNone(pending.result())
        finally:
            resume(target.daemon)
        answer = self.wait_for_answer(second, key, path, (200,))
        self.assertEqual(answer.document()["target"], f"/accessions{path}")
        self.assertEqual(self.runs("ledger", key), 1)

    def test_reads_survive_a_killed_daemon(self):
        victim = self.fleet.targets_of_service("listening-room")[1]
        entry = self.fleet.targets_of_service("ledger")[0]

        def read(thread, number):
            path = f"/recordings/{thread}-{number}"
            answer = call(entry.caller_address, "GET", f"/listening-room{path}")
            if answer.status != 200 or answer.document()["target"] != path:
                return f"{path}: {answer.status} {answer.refusal_code()}"
            return None

        with LoadGenerator(4, read) as load:
            wait_until(lambda: load.sent > 100, "reads run")
            kill(victim.daemon)
            sent_before = load.sent
            wait_until(lambda: load.sent > sent_before + 200, "reads continue")
        restart_daemon(victim, TEAM)
        # Reads that ran on the killed daemon are retried on others within the budget.
        self.assertEqual(load.problems, [])


class CrashTest(FleetTestCase):
    """Guards against a request that crashes one upstream after another.

    Daemons retry reads on another upstream, and callers repeat requests through other
    daemons; without a limit, each of these attempts would crash an upstream.
    """

    def _send_through_all_daemons(self, service, path, method, headers):
        targets = self.fleet.targets_of_service(service)
        codes = []
        for entry in self.fleet.targets:
            answer = call(
                entry.caller_address, method, f"/{service}{path}", None, headers
            )
            codes.append(answer.refusal_code())
        crashed = [t for t in targets if not t.upstream.is_running()]
        for target in crashed:
            target.start_upstream()
            wait_until(target.upstream_responds, f"{target.name} responds again")
        return codes, len(crashed)

    def test_read_ends_two_upstreams_at_most(self):
        path = "/recordings/1?fault=crash"
        codes, crashed = self._send_through_all_daemons(
            "listening-room", path, "GET", {}
        )
        self.assertLessEqual(crashed, 2)
        self.assertEqual(codes[-1], "crash-suspect")
        entry = self.fleet.targets[0].caller_address

        def similar_request_succeeds():
            path = "/listening-room/recordings/1?fault=none&status=200&x=crash"
            return call(entry, "GET", path.replace("fault=none&", "")).status == 200

        wait_until(similar_request_succeeds, "a similar request succeeds")

    def test_keyed_work_ends_one_upstream(self):
        headers = key_header("crash-key")
        path = "/accessions?fault=crash"
        codes, crashed = self._send_through_all_daemons("ledger", path, "POST", headers)
        self.assertEqual(crashed, 1)
        self.assertEqual(self.runs("ledger", "crash-key"), 0)
        self.assertIn(codes[-1], ("operation-unknown", "crash-suspect"))


class StoreOutageTest(FleetTestCase):
    """Guards against side effects of a store outage.

    Reads must not be affected, a call that is refused as not run must not have run, and
    the daemons must not flood the store with calls.
    """

    def test_outage_and_return(self):
        fleet = self.fleet
        entry = fleet.targets_of_service("listening-room")[0]
        opening = key_header("outage-upload") | {
            "Goldcrest-Upload-Length": "8",
            "Goldcrest-Upload-Digest": hashlib.sha256(b"abcdefgh").hexdigest(),
        }
        self.assertEqual(
            call(entry.caller_address, "POST", DEPOSITS, None, opening).status, 201
        )
        self._append(entry, 0, b"abcd", 204)
        for store in ("table", "objects"):
            set_faults(fleet, store, down=True)
        refused = [self.accession(t, f"down-{t.name}") for t in fleet.targets * 3]
        for answer in refused:
            self.assertEqual(answer.refusal_code(), "store-unavailable")
            self.assertEqual(outcome_of(answer), ("not-run", "request"))
        self._append(entry, 4, b"efgh", 503)
        self._check_reads()
        calls = table_calls(fleet)
        self._check_reads()
        time.sleep(2)
        # Each daemon sends one probe at a time, with increasing pauses in between.
        self.assertLess(table_calls(fleet) - calls, 5 * len(fleet.targets))
        for target in fleet.targets:
            self.assertEqual(self.runs("ledger", f"down-{target.name}"), 0)
        for store in ("table", "objects"):
            set_faults(fleet, store, down=False)
        for target in fleet.targets:
            self.wait_for_answer(target, f"down-{target.name}", "", (200,))
            self.assertEqual(self.runs("ledger", f"down-{target.name}"), 1)
        wait_until(
            lambda: self._offset(entry) == 4, "the upload's offset is available again"
        )
        answer = self._append(entry, 4, b"efgh", 200)
        self.assertEqual(answer.document()["received"], 8)

    def _append(self, entry, offset, data, status):
        headers = key_header("outage-upload")
        headers["Goldcrest-Upload-Offset"] = str(offset)
        answer = call(entry.caller_address, "PATCH", DEPOSITS, data, headers)
        self.assertEqual(answer.status, status, answer.body)
        return answer

    def _offset(self, entry):
        headers = key_header("outage-upload")
        answer = call(entry.caller_address, "HEAD", DEPOSITS, None, headers)
        return int(answer.headers.get("goldcrest-upload-offset", -1))

    def _check_reads(self):
        for number, target in enumerate(self.fleet.targets * 5):
            path = f"/recordings/{number}"
            answer = call(target.caller_address, "GET", f"/listening-room{path}")
            self.assertEqual(answer.status, 200, answer.body)

    def test_lost_answers_of_the_table(self):
        """Guards against operations that run twice or can no longer be run.

        The write that records the start takes effect, but its response is lost, so
        that the daemon does not know whether it has recorded the start.
        """
        for number in range(6):
            set_faults(self.fleet, "table", lose_answers=1)
            key = f"lost-{number}"
            self.accession(self.fleet.targets[0], key)
            self.wait_for_answer(self.fleet.targets[1], key, "", (200,))
            self.assertEqual(self.runs("ledger", key), 1)
        set_faults(self.fleet, "table", lose_answers=0)

    def test_slow_table_does_not_slow_reads(self):
        """Guards against reads that fail behind operations that wait for the table.

        Each table call takes 5 s, which is too long for the operations: they are
        refused as not run.
        """
        set_faults(self.fleet, "table", delay_ms=5000)
        self.addCleanup(set_faults, self.fleet, "table", delay_ms=0)
        entry = self.fleet.targets[0]
        pending = [self.start_accession(entry, f"slow-{n}", "") for n in range(24)]
        for number in range(20):
            answer = call(entry.caller_address, "GET", f"/ledger/entries/{number}")
            self.assertEqual(answer.status, 200, answer.body)
        for future in pending:
            self.assertEqual(outcome_of(future.result())[0], "not-run")


class ReplacementTest(FleetTestCase):
    """Guards against calls that are interrupted by a planned stop of a daemon.

    Each daemon in turn is stopped with SIGTERM and started again, while the other
    daemons receive calls and forward some of them to it.
    """

    def test_rolling_replacement_under_load(self):
        fleet = self.fleet
        being_replaced = []

        def send(thread, number):
            # Callers do not send to the daemon that is being replaced.
            entries = [t for t in fleet.targets if t not in being_replaced]
            entry = entries[(thread + number) % len(entries)]
            if thread == 0:
                return self._upload(entry, number)
            return self._read_or_write(entry, thread, number)

        with LoadGenerator(6, send) as load:
            for target in fleet.targets:
                being_replaced[:] = [target]
                self.assertEqual(replace_daemon(target, TEAM), 0)
                being_replaced.clear()
                sent_before = load.sent
                wait_until(
                    lambda sent_before=sent_before: load.sent > sent_before + 20,
                    "calls continue",
                )
        self.assertEqual(load.problems, [])

    def _upload(self, entry, number):
        body = random.Random(number).randbytes(400_000)
        headers = key_header(f"rolling-{number}")
        answer = call(entry.caller_address, "POST", f"{DEPOSITS}?echo=1", body, headers)
        if answer.status == 200 and answer.body == body:
            return None
        return f"upload {number}: {answer.status} {answer.body[:200]}"

    def _read_or_write(self, entry, thread, number):
        if thread == 1:
            headers = key_header(f"rolling-once-{number}")
            answer = call(
                entry.caller_address, "POST", f"{ACCESSIONS}?ms=50", b"x", headers
            )
        else:
            path = f"/listening-room/recordings/{number}?ms=50"
            answer = call(entry.caller_address, "GET", path)
        if answer.status == 200:
            return None
        return f"call {thread}-{number}: {answer.status} {answer.body[:200]}"


class ConfigurationTest(FleetTestCase):
    """Guards against configuration versions that are not in force or are lost.

    An accepted version must be in force on every daemon, and no daemon may return to an
    earlier version. A daemon that is replaced while the store is down would do so if it
    could get the version only from the store.
    """

    def test_version_survives_replacement_of_all_daemons_without_the_store(self):
        fleet = self.fleet
        output = apply(fleet, self._changed_questionnaire(), base=1)
        self.assertIn("accepted as version 2", output)
        for store in ("table", "objects"):
            set_faults(fleet, store, down=True)
        # An accepted version comes into force on all daemons, even if the store goes
        # down right after its acceptance.
        for target in fleet.targets:
            wait_until(
                lambda t=target: t.version(TEAM) == 2, f"{target.name} has version 2"
            )
        for target in fleet.targets:
            replace_daemon(target, TEAM)
            self.assertEqual(target.version(TEAM), 2)
        for store in ("table", "objects"):
            set_faults(fleet, store, down=False)
        for target in fleet.targets:
            self.assertEqual(target.version(TEAM), 2)

    def _changed_questionnaire(self):
        path = self.fleet.folder / "changed.yaml"
        text = QUESTIONNAIRE.read_text()
        path.write_text(text.replace("usual_ms: 8", "usual_ms: 9", 1))
        return path
