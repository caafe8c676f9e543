"""Test of calls through daemon processes."""

import json
import unittest
import urllib.request

from goldcresthoist.tests.processes import (
    Processes,
    make_member,
    make_plan,
    make_service,
)


def fetch(address, target, data=None):
    """Return the decoded JSON response of one call."""
    url = f"http://{address}{target}"
    with urllib.request.urlopen(url, data, timeout=30) as answer:
        return json.load(answer)


class RequestPathTest(unittest.TestCase):
    """Guards against calls that fail between two daemon processes.

    Most other tests of the call path run all nodes in one event loop, so they cannot
    detect such failures.
    """

    def test_call_reaches_remote_and_own_upstream(self):
        with Processes() as processes:
            _, port = processes.start_upstream()
            front = make_member("front-1", "front")
            lookup = make_member("lookup-1", "lookup")
            services = [make_service("lookup")]
            plans = [
                make_plan(member, port, [front, lookup], services)
                for member in (front, lookup)
            ]
            for plan in plans:
                processes.start_node(plan)
            for plan in plans:
                answer = fetch(plan.caller_address, "/lookup/items/7?a=b")
                self.assertEqual(answer["target"], "/items/7?a=b")
