"""Tests of the command line interface."""

import contextlib
import io
import os
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

import yaml

from goldcresthoist.cli import main
from goldcresthoist.config import Questionnaire, generate
from goldcresthoist.operators.tests.builders import SHARED_KEY, ServerThread
from goldcresthoist.platform.tests.builders import encode_changed
from goldcresthoist.tests.builders import temporary_folder, write_settings

ROOT = Path(__file__).resolve().parents[3]
ARCHIVE = ROOT / "examples" / "archive.yaml"
COMMANDS = (
    "",
    "daemon",
    "node",
    "status",
    "config",
    "config check",
    "config apply",
    "config show",
    "config history",
    "operations",
    "operations list",
    "operations show",
    "operations settle",
)


def run(*arguments):
    """Run a command and return (exit status, stdout, stderr)."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = main([str(argument) for argument in arguments])
    return status, out.getvalue(), err.getvalue()


class UsageTest(unittest.TestCase):
    def test_every_command_has_help(self):
        for command in COMMANDS:
            with self.subTest(command=command):
                status, out, err = run(*command.split(), "--help")
                self.assertEqual((status, err), (0, ""))
                self.assertIn(f"Usage: goldcresthoist {command}".rstrip(), out)
                self.assertLess(len(out.splitlines()), 30)

    def test_bad_usage_is_one_line_and_status_2(self):
        """Guards against tracebacks and commands that run despite invalid arguments."""
        for command, text in (
            ("", "missing command"),
            ("config", "missing command"),
            ("frob", "unknown command 'frob'"),
            ("config check", "missing argument FILE"),
            (f"config check {ARCHIVE} extra", "unexpected argument extra"),
            (f"config check {ARCHIVE} --bogus 1", "unexpected argument --bogus"),
            (f"config check {ARCHIVE} function", "unexpected argument function"),
            (f"config check {ARCHIVE} --settings", "--settings needs a value"),
            ("status -- --interactive", "unexpected argument --"),
            ("status --address nowhere", "expected ip:port"),
            ("operations settle s k maybe", "expected ran or not-run"),
            ("daemon /nonexistent.yaml", "/nonexistent.yaml: cannot be read"),
        ):
            with self.subTest(command=command):
                status, out, err = run(*command.split())
                self.assertEqual((status, out), (2, ""), err)
                self.assertEqual(len(err.splitlines()), 1, err)
                self.assertIn(text, err)

    def test_node_without_settings_is_status_2(self):
        """Guards against a daemon that starts without its settings."""
        with mock.patch.dict("os.environ"):
            os.environ.pop("GOLDCRESTHOIST_NODE_FILE", None)
            status, _, error = run("node")
        self.assertEqual(status, 2)
        self.assertIn("GOLDCRESTHOIST_NODE_FILE is not set", error)

    def test_check_of_a_platform_configuration(self):
        """Guards against an operator who takes a new setting to be in force.

        Scripts rely on the exit status: 0, 1 for findings, 2 if not valid.
        """
        path = Path(temporary_folder(self)) / "config.json"
        path.write_bytes(encode_changed())
        valid = f"{path}: valid: version 3, 2 routes\n"
        self.assertEqual(run("config", "check", path), (0, valid, ""))
        path.write_bytes(encode_changed(("routes", 0, "kind", "stream")))
        status, out, err = run("config", "check", path)
        self.assertEqual((status, err), (1, ""))
        self.assertTrue(out.startswith(f"{valid}  routes[0].kind: 'stream': "), out)
        path.write_text("{}")
        status, out, err = run("config", "check", path)
        self.assertEqual((status, out, len(err.splitlines())), (2, "", 1))
        self.assertIn("version", err)
        path.write_bytes(encode_changed(("version", "x"), ("limits", 1)))
        status, _, err = run("config", "check", path)
        self.assertEqual((status, len(err.splitlines())), (2, 2))
        self.assertIn(f"{path}: version: ", err)

    def test_check_against_a_version_in_force(self):
        """Guards against a change that nobody sees before it is in force."""
        folder = Path(temporary_folder(self))
        path, in_force = folder / "new.json", folder / "old.json"
        in_force.write_bytes(encode_changed())
        path.write_bytes(encode_changed(("version", 4), ("tenants", 0, "burst", 9)))
        command = ("config", "check", path, "--in-force", in_force)
        status, out, _ = run(*command)
        self.assertEqual(status, 0)
        expected = ["changes:", "  workspace a: burst 5.0 -> 9.0"]
        self.assertEqual(out.splitlines()[1:], expected)
        path.write_bytes(encode_changed())
        status, out, _ = run(*command)
        self.assertEqual(status, 1)
        self.assertIn("version: 3 is not newer than 3", out)
        self.assertEqual(out.splitlines()[-1], "no changes")
        in_force.write_text("{")
        status, _, err = run(*command)
        self.assertEqual((status, len(err.splitlines())), (2, 1))
        self.assertIn(str(in_force), err)
        status, _, err = run("config", "check", ARCHIVE, "--in-force", in_force)
        self.assertEqual((status, len(err.splitlines())), (2, 1))

    def test_unreachable_daemon_is_status_1(self):
        status, _, err = run("status", "--address", "127.0.0.1:1")
        self.assertEqual((status, len(err.splitlines())), (1, 1))

    def test_daemon_runs_with_its_settings(self):
        path = write_settings(temporary_folder(self), {"instance": "ledger-a1"})
        with (
            mock.patch("goldcresthoist.daemon.run", create=True) as daemon_run,
            mock.patch("goldcresthoist.cli._status.refuse_io_uring"),
        ):
            daemon_run.return_value = None
            self.assertEqual(run("daemon", path)[0], 0)
        self.assertEqual(daemon_run.call_args.args[0].instance, "ledger-a1")


class ProcessTest(unittest.TestCase):
    def test_module_entry_point_returns_the_status(self):
        command = [sys.executable, "-m", "goldcresthoist", "frob"]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(result.returncode, 2)
        self.assertNotIn("Traceback", result.stderr)

    def test_daemon_process_uses_no_io_uring(self):
        """Guards against libuv using io_uring when UV_USE_IO_URING=1 allows it."""
        path = write_settings(temporary_folder(self))
        program = (
            "import os, sys\n"
            "from unittest import mock\n"
            "from goldcresthoist.cli import main\n"
            "def run(settings):\n"
            "    import uvloop\n"
            "    loop = uvloop.new_event_loop()\n"
            "    print(os.environ['UV_USE_IO_URING'])\n"
            "    folder = '/proc/self/fd'\n"
            "    paths = [f'{folder}/{fd}' for fd in os.listdir(folder)]\n"
            "    links = [os.readlink(p) for p in paths if os.path.islink(p)]\n"
            "    print([link for link in links if 'io_uring' in link])\n"
            "assert 'uvloop' not in sys.modules\n"
            "with mock.patch('goldcresthoist.daemon.run', run, create=True):\n"
            f"    sys.exit(main(['daemon', {str(path)!r}]))\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT,
            env={**os.environ, "UV_USE_IO_URING": "1"},
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.stdout.splitlines(), ["0", "[]"], result.stderr)


class DaemonCommandsTest(unittest.TestCase):
    def setUp(self):
        self.thread = ServerThread()
        self.thread.start()
        self.addCleanup(self.thread.stop)
        self.folder = temporary_folder(self)
        values = {
            "operator_address": self.thread.address,
            "shared_key": SHARED_KEY.hex(),
        }
        self.settings = ("--settings", write_settings(self.folder, values))

    def changed_questionnaire(self):
        document = yaml.safe_load(ARCHIVE.read_text())
        document["services"][1]["slots"] = 16
        path = self.folder / "changed.yaml"
        path.write_text(yaml.safe_dump(document))
        return path

    def test_status(self):
        status, out, _ = run("status", *self.settings)
        self.assertEqual(status, 0)
        self.assertIn("listening-room-a1", out)
        self.assertIn('"members":', run("status", "--json", *self.settings)[1])

    def test_apply_show_and_history(self):
        status, out, err = run(
            "config", "apply", ARCHIVE, "--author", "ida", *self.settings
        )
        self.assertEqual((status, err), (0, ""))
        self.assertIn("service ledger: added", out)
        self.assertIn("accepted as version 1 of team archive", out)
        self.assertIn("archive-b: in force in 3 of 4 daemons", out)
        self.assertIn("archive-c: no daemon can be reached", out)
        self.assertIn("1 daemons do not have it yet", out)
        status, out, _ = run("config", "apply", ARCHIVE, *self.settings)
        self.assertEqual(out, "no changes to version 1 of team archive\n")
        changed = self.changed_questionnaire()
        out = run("config", "check", changed, *self.settings)[1]
        self.assertIn("service ledger: slots 12 -> 16", out)
        self.assertIn("by ida", run("config", "show", "archive", *self.settings)[1])
        self.assertIn("ida", run("config", "history", "archive", *self.settings)[1])

    def test_conflict_lists_the_other_changes(self):
        """Guards against an operator who silently reverts a concurrent change."""
        service = self.thread.configuration
        other = generate(Questionnaire.from_file(self.changed_questionnaire()))
        service.before_apply = lambda: service.put(other, "bo")
        status, _, err = run("config", "apply", ARCHIVE, *self.settings)
        self.assertEqual(status, 1)
        self.assertIn("nothing was changed: another operator changed team", err)
        self.assertIn("service ledger: slots", err)
        self.assertEqual(service.records["archive"].author, "bo")

    def test_apply_requires_the_base_version(self):
        """Guards against an old questionnaire that silently reverts newer changes."""
        run("config", "apply", ARCHIVE, *self.settings)
        changed = self.changed_questionnaire()
        status, out, err = run("config", "apply", changed, *self.settings)
        self.assertEqual(status, 1)
        self.assertIn("service ledger: slots 12 -> 16", out)
        self.assertIn("apply again with --base 1", err)
        command = ("config", "apply", changed, "--base")
        self.assertEqual(run(*command, "one", *self.settings)[0], 2)
        status, out, _ = run(*command, "1", *self.settings)
        self.assertEqual(status, 0)
        self.assertIn("accepted as version 2", out)

    def test_operations(self):
        settings = self.settings
        out = run("operations", "list", *settings)[1]
        self.assertIn("ledger key/1: unknown, owner a1", out)
        status, out, err = run(
            "operations", "settle", "ledger", "key/1", "not-run", *settings
        )
        self.assertEqual((status, err), (0, ""))
        self.assertIn("refused", out)
        self.assertEqual(
            run("operations", "list", *settings)[1], "no unknown operations\n"
        )
        self.assertEqual(run("operations", "show", "x", "y", *settings)[0], 1)

    def test_change_without_the_key_is_bad_usage(self):
        status, _, err = run(
            "config", "apply", ARCHIVE, "--address", self.thread.address
        )
        self.assertEqual(status, 2)
        self.assertIn("needs the shared key", err)
