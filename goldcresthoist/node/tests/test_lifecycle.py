"""Tests of the start of the daemon."""

import asyncio
import io
import os
import signal
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

from goldcresthoist.balance.hedge_limit import SHARE_VARIABLE
from goldcresthoist.fleet.tests.builders import FakeLog
from goldcresthoist.node import main
from goldcresthoist.node.lifecycle import (
    MEMBERS_TIMEOUT_S,
    _start_configuration_watch,
    _watch_settings,
    run,
)
from goldcresthoist.node.tests.loopback_cluster import settings_text
from goldcresthoist.platform import NodeSettings
from goldcresthoist.platform.settings import SETTINGS_VARIABLE


class FakeWatch:
    """Records whether it was started."""

    def __init__(self):
        self.started = False

    def start(self):
        """Record the start."""
        self.started = True


def make_node(bootstrap):
    """Return what the start of the watch uses of a `Node`."""
    return SimpleNamespace(
        settings=SimpleNamespace(bootstrap=bootstrap),
        registration=SimpleNamespace(rows_loaded=asyncio.Event()),
        watch=FakeWatch(),
        log=FakeLog(),
    )


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_start_of_a_large_fleet_adds_no_watchers(self):
        """Guards against daemons that watch the store since they know no member yet.

        On tobar-mesh-large, 24 of 195 daemons did so at the first start: the store
        takes 200 writes a second, and they wrote their rows last.
        """
        node = make_node(bootstrap=True)
        task = asyncio.create_task(_start_configuration_watch(node))
        await asyncio.sleep(2 * MEMBERS_TIMEOUT_S)
        self.assertFalse(node.watch.started)
        node.registration.rows_loaded.set()
        await task
        self.assertTrue(node.watch.started)
        self.assertEqual(node.log.events, [])

    async def test_restarted_daemon_does_not_wait_for_the_store(self):
        """Guards against a daemon that serves nothing while the store is away."""
        node = make_node(bootstrap=False)
        await _start_configuration_watch(node)
        self.assertTrue(node.watch.started)
        self.assertEqual(node.log.events[0][0], "members unknown")


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    def test_reload_signal_during_the_start(self):
        """Guards against a daemon that ends as its settings change while it starts."""
        seen = []
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)

        def run():
            seen.append(signal.getsignal(signal.SIGHUP))
            return 0

        with mock.patch("goldcresthoist.node.lifecycle.run", run):
            self.assertEqual(main(), 0)
        self.assertEqual(seen, [signal.SIG_IGN])

    def test_invalid_hedge_share_ends_the_start(self):
        """Guards against a daemon that runs with another limit than the one set."""
        text = settings_text("127.0.0.1", "ledger", "127.0.0.1:9")
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            variables = {SETTINGS_VARIABLE: file.name, SHARE_VARIABLE: "0.7"}
            with (
                mock.patch.dict(os.environ, variables),
                mock.patch("sys.stderr", io.StringIO()) as errors,
            ):
                self.assertEqual(run(), 2)
        self.assertEqual(
            errors.getvalue(),
            "GOLDCRESTHOIST_HEDGE_SHARE is '0.7', expected a number from 0 to 0.5\n",
        )

    async def test_settings_that_change_during_the_start(self):
        """Guards against a change of the settings that no signal announces again."""
        text = settings_text("127.0.0.1", "ledger", "127.0.0.1:9")
        node = SimpleNamespace(
            settings=NodeSettings.from_text(text),
            log=FakeLog(),
            reconfigure=mock.Mock(),
        )
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text.replace('"ledger"', '"listen"'))
            file.flush()
            variables = {SETTINGS_VARIABLE: file.name}
            with mock.patch.dict(os.environ, variables):
                task = asyncio.create_task(_watch_settings(node, asyncio.Event()))
                await asyncio.sleep(1.5)
                task.cancel()
        (call,) = node.reconfigure.mock_calls
        self.assertEqual(call.args[0].service, "listen")


if __name__ == "__main__":
    unittest.main()
