"""Tests of the HTTP interface for operators."""

import http.client
import json
import unittest

import yaml

from goldcresthoist.config import Questionnaire, generate
from goldcresthoist.operators import NotAuthenticated, operator_key, request_mac
from goldcresthoist.operators.authentication import (
    CHALLENGE_HEADER,
    CHALLENGE_LIFETIME_S,
    MAC_HEADER,
    Challenges,
)
from goldcresthoist.operators.tests.builders import SHARED_KEY, ServerThread

TEAM = yaml.safe_load("""
team: archive
places: [{name: a, region: north}]
services:
  - name: ledger
    work:
      - name: entry
        method: GET
        path: /entries
        kind: read
        usual_ms: 5
        longest_ms: 9
""")


class PagesTest(unittest.TestCase):
    def setUp(self):
        self.thread = ServerThread()
        self.thread.start()
        self.addCleanup(self.thread.stop)

    def request(self, method, target, document=None, headers=()):
        """Return (status, decoded JSON or text)."""
        body = json.dumps(document) if document is not None else None
        connection = http.client.HTTPConnection(self.thread.address, timeout=60)
        self.addCleanup(connection.close)
        connection.request(method, target, body, dict(headers))
        response = connection.getresponse()
        text = response.read().decode()
        kind = response.getheader("Content-Type", "")
        return response.status, json.loads(text) if "json" in kind else text

    def signed(self, target, document, key=SHARED_KEY):
        """Return the headers that authenticate a POST request."""
        challenge = self.request("GET", "/challenge")[1]["challenge"]
        body = json.dumps(document).encode()
        mac = request_mac(operator_key(key), "POST", target, challenge, body)
        return {CHALLENGE_HEADER: challenge, MAC_HEADER: mac}

    def apply_request(self, version=0):
        return {"questionnaire": TEAM, "expected_version": version, "author": "ida"}

    def test_health_follows_the_state(self):
        """Guards against probes that get status 200 from a draining daemon."""
        self.assertEqual(self.request("GET", "/health")[0], 200)
        self.thread.status.state = "draining"
        status, document = self.request("GET", "/health")
        self.assertEqual((status, document["state"]), (503, "draining"))

    def test_status_as_json_and_as_text(self):
        self.assertEqual(self.request("GET", "/status")[1]["members"], {"alive": 11})
        text = self.request("GET", "/status?format=text")[1]
        self.assertIn("archive version 1", text)

    def test_metrics_count_requests_of_operators(self):
        self.request("GET", "/status")
        text = self.request("GET", "/metrics")[1]
        self.assertIn('operator_requests_total{page="StatusPage",status="200"}', text)

    def test_errors_are_json_with_code_and_message(self):
        for method, target, document, expected in (
            ("GET", "/nothing", None, (404, "not-found")),
            ("GET", "/configuration", None, (400, "invalid")),
            ("GET", "/configuration?team=none", None, (404, "not-found")),
            ("DELETE", "/status", None, (405, "method-not-allowed")),
            ("POST", "/configuration/check", {"x": 1}, (400, "invalid")),
            ("GET", "/operations/ledger/none", None, (404, "not-found")),
        ):
            with self.subTest(target=target):
                status, error = self.request(method, target, document)
                self.assertEqual((status, error["code"]), expected)
                self.assertTrue(error["message"])

    def test_error_names_the_invalid_answer(self):
        wrong = {"questionnaire": {**TEAM, "team": "No!"}, "source": "t.yaml"}
        status, error = self.request("POST", "/configuration/check", wrong)
        self.assertEqual(status, 400)
        self.assertIn("t.yaml: answer team = 'No!'", error["message"])

    def test_change_without_valid_mac_is_refused(self):
        """Guards against changes by clients without the shared key.

        Anyone who can reach the operator address can send requests.
        """
        document = self.apply_request()
        target = "/configuration/apply"
        other = self.signed(target, {**document, "author": "eve"})
        wrong_key = self.signed(target, document, bytes(32))
        for headers in ({}, other, wrong_key):
            status, error = self.request("POST", target, document, headers)
            self.assertEqual((status, error["code"]), (401, "not-authenticated"))
        self.assertEqual(self.thread.configuration.records, {})

    def test_replayed_request_is_refused(self):
        """Guards against the replay of a recorded request."""
        document = self.apply_request()
        headers = self.signed("/configuration/apply", document)
        status, report = self.request("POST", "/configuration/apply", document, headers)
        self.assertEqual((status, report["version"]), (200, 1))
        status, _ = self.request("POST", "/configuration/apply", document, headers)
        self.assertEqual(status, 401)
        status, record = self.request("GET", "/configuration?team=archive")
        self.assertEqual((status, record["author"]), (200, "ida"))
        history = self.request("GET", "/configuration/history?team=archive")[1]
        self.assertEqual([entry["version"] for entry in history["entries"]], [1])

    def test_conflict_names_the_other_author(self):
        content = generate(Questionnaire.from_document(TEAM))
        self.thread.configuration.put(content, "bo")
        document = self.apply_request()
        headers = self.signed("/configuration/apply", document)
        status, error = self.request("POST", "/configuration/apply", document, headers)
        self.assertEqual((status, error["code"]), (409, "conflict"))
        self.assertIn("bo", error["message"])

    def test_settle_operation_whose_key_contains_a_slash(self):
        target = "/operations/ledger/key%2F1"
        listed = self.request("GET", "/operations?service=ledger")[1]["operations"]
        self.assertEqual([record["key"] for record in listed], ["key/1"])
        document = {"outcome": "ran", "author": "ida", "status": 201}
        headers = self.signed(f"{target}/settle", document)
        status, record = self.request("POST", f"{target}/settle", document, headers)
        self.assertEqual((status, record["state"]), (200, "finished"))
        headers = self.signed(f"{target}/settle", document)
        status, _ = self.request("POST", f"{target}/settle", document, headers)
        self.assertEqual(status, 409)


class ChallengesTest(unittest.TestCase):
    def test_challenge_expires(self):
        """Guards against a recorded request that is sent with an expired challenge."""
        now = 5.0
        challenges = Challenges(b"k" * 32, clock=lambda: now)
        challenge = challenges.issue()
        mac = request_mac(b"k" * 32, "POST", "/x", challenge, b"")
        now += CHALLENGE_LIFETIME_S + 1
        with self.assertRaises(NotAuthenticated):
            challenges.verify("POST", "/x", challenge, mac, b"")

    def test_forged_challenge_is_refused(self):
        """Guards against clients that construct challenges themselves."""
        challenges = Challenges(b"k" * 32)
        for challenge in ("", "zz", "00" * 56):
            mac = request_mac(b"k" * 32, "POST", "/x", challenge, b"")
            with self.assertRaises(NotAuthenticated):
                challenges.verify("POST", "/x", challenge, mac, b"")
