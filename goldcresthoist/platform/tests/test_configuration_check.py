"""Tests of the strict check of the operator's configuration."""

import unittest

from goldcresthoist.platform import InvalidMessage
from goldcresthoist.platform.configuration_check import (
    check_document,
    compare_documents,
)
from goldcresthoist.platform.tests.builders import encode_changed, make_document

FIRST, SECOND = make_document()["routes"]
ZERO_WEIGHTS = [{"service": "accounts", "weight": 0}]
IN_FORCE = encode_changed(("version", 2))


class CheckTest(unittest.TestCase):
    def assert_found(self, cases, is_error):
        """Check the only finding of each case, (place, part of the text, *changes)."""
        for place, text, *changes in cases:
            with self.subTest(place=place, text=text):
                (found,) = check_document(encode_changed(*changes))
                self.assertEqual((found.place, found.is_error), (place, is_error))
                self.assertIn(text, found.text)
                self.assertNotIn("secret", found.text)

    def test_valid_configuration_has_no_findings(self):
        """Guards against findings that operators learn to ignore."""
        self.assertEqual(check_document(encode_changed()), [])
        content = encode_changed(("tenants", None), ("routes", 1, "public", False))
        self.assertEqual(check_document(content), [])

    def test_documents_that_cannot_be_read(self):
        """Guards against a check that ends with a traceback."""
        for content in (b"", b"\xff", b"{", b"[" * 100_000, b"[]", b"3"):
            (found,) = check_document(content)
            self.assertEqual((found.place, found.is_error), ("document", True))

    def test_missing_and_wrong_fields(self):
        """Guards against an error whose place the operator must search for."""
        routes = ("routes", 1)
        cases = (
            ("version", "is missing", ("version", ...)),
            ("version", "Expected int", ("version", "3")),
            ("version", "below 0", ("version", -3)),
            ("routes", "expected a list", ("routes", {})),
            ("routes[1]", "expected an object", (*routes, 7)),
            ("routes[1].timeout_s", "is missing", (*routes, "timeout_s", ...)),
            ("routes[1].timeout_s", "Expected float", (*routes, "timeout_s", "1")),
            ("routes[1].timeout_s", "not above 0", (*routes, "timeout_s", 0)),
            ("routes[1].max_attempts", "not above 0", (*routes, "max_attempts", 0)),
            ("routes[1].aim_s", "below 0", (*routes, "aim_s", -1)),
            ("routes[1].name", "is empty", (*routes, "name", "")),
            ("routes[1].service", "no service", (*routes, "service", ...)),
            (
                "routes[0].weighted_services[1].weight",
                "below 0",
                ("routes", 0, "weighted_services", 1, "weight", -1),
            ),
            (
                "routes[0].weighted_services[0]",
                "expected an object",
                ("routes", 0, "weighted_services", [7]),
            ),
            ("services[0].name", "is missing", ("services", 0, {}), ("routes", [])),
            ("limits", "expected an object", ("limits", [])),
            ("limits.max_body_bytes", "not above", ("limits", "max_body_bytes", 0)),
            ("tenants[0].burst", "Expected float", ("tenants", 0, "burst", "x")),
            ("tenants[0].api_keys", "at $[0]", ("tenants", 0, "api_keys", [5])),
            ("tenants[0].api_keys[0]", "is empty", ("tenants", 0, "api_keys", [""])),
        )
        self.assert_found(cases, True)

    def test_all_errors_are_reported_first(self):
        """Guards against an operator who mends one error a run."""
        content = encode_changed(
            ("colour", 1), ("routes", 0, "timeout_s", "x"), ("limits", [])
        )
        found = [(item.place, item.is_error) for item in check_document(content)]
        expected = [("routes[0].timeout_s", True), ("limits", True), ("colour", False)]
        self.assertEqual(found, expected)

    def test_contradictions_that_are_errors(self):
        """Guards against names, keys and routes of which only one takes effect."""
        weighted = ("routes", 0, "weighted_services")
        other_host = FIRST | {"host": "bank.EXAMPLE", "name": "other"}
        cases = (
            (
                "routes[1].name",
                "same name as at routes[0]",
                ("routes", 1, "name", "view"),
            ),
            (
                "services[1].name",
                "same name",
                ("services", 1, "name", "accounts"),
                (*weighted, 1, "service", "accounts"),
                ("routes", 1, "service", "accounts"),
            ),
            ("tenants[1].name", "same name", ("tenants", 1, "name", "a")),
            (
                "tenants[1].api_keys[1]",
                "same key as at tenants[0].api_keys[0]",
                ("tenants", 1, "api_keys", ["secret-2", "secret-1"]),
            ),
            ("routes[1].prefix", "never matches", ("routes", 1, other_host)),
            ("routes[0].weighted_services", "sum to 0", (*weighted, ZERO_WEIGHTS)),
            (
                "routes[0].weighted_services[1].service",
                "is not defined",
                (*weighted, 1, "service", "recrods"),
            ),
            (
                "routes[1].service",
                "has no other service",
                ("routes", 1, "service", "recrods"),
            ),
        )
        self.assert_found(cases, True)

    def test_findings_that_are_no_errors(self):
        """Guards against a configuration that does not do what the operator meant."""
        route, tenant = ("routes", 1), ("tenants", 0)
        cases = (
            ("routes[1].prefix", "never matches", (*route, "prefix", "profile/")),
            ("routes[1].prefix", "never matches", (*route, "prefix", "/p?x=1/")),
            ("routes[1].prefix", "at its end", (*route, "prefix", "/profile")),
            ("routes[1].prefix", "every path", (*route, "prefix", "")),
            ("routes[1].host", "never matches", (*route, "host", "bank.example:80")),
            ("routes[1].aim_s", "over the time-out", (*route, "aim_s", 0.5)),
            ("tenants[0].burst", "below the rate", (*tenant, "burst", 4.9)),
            ("tenants[0].burst", "below the rate", (*tenant, "burst", ...)),
            ("tenants[0].burst", "no effect", (*tenant, "rate_per_s", 0)),
            ("tenants[0].api_keys", "no keys", (*tenant, "api_keys", [])),
            ("services[1].cold_per_s", "no rate", ("services", 1, "cold_per_s", ...)),
            ("routes[1].public", "no effect", ("tenants", [])),
            ("routes[1].kind", "'stream'", (*route, "kind", "stream")),
            ("colour", "does not know", ("colour", 1)),
            ("routes[1].colour", "does not know", (*route, "colour", 1)),
            ("limits.colour", "does not know", ("limits", "colour", 1)),
            (
                "routes[0].weighted_services[1].colour",
                "does not know",
                ("routes", 0, "weighted_services", 1, "colour", 1),
            ),
        )
        self.assert_found(cases, False)


class CompareTest(unittest.TestCase):
    def compare(self, *changes):
        """Return the lines of the changes from the unchanged document."""
        lines, findings = compare_documents(encode_changed(*changes), IN_FORCE)
        self.assertEqual(findings, [])
        return lines

    def test_each_kind_of_change(self):
        """Guards against a change that an operator does not see, and printed keys."""
        self.assertEqual(self.compare(), ())
        cases = (
            ("route profile: removed", ("routes", [FIRST])),
            ("route new: added", ("routes", [FIRST, SECOND, SECOND | {"name": "new"}])),
            ("route view: aim_s 0.4 -> 0.5", ("routes", 0, "aim_s", 0.5)),
            (
                "route view: weighted_services accounts 9, records 1 -> "
                "accounts 8, records 1",
                ("routes", 0, "weighted_services", 0, "weight", 8),
            ),
            ("service new: added", ("services", 0, "name", "new")),
            ("service accounts: removed", ("services", 0, "name", "new")),
            (
                "service records: warm_up 7.5/s for 3 s -> 5/s for 3 s",
                ("services", 1, "cold_per_s", 5),
            ),
            ("workspace a: removed", ("tenants", 0, "name", "c")),
            ("workspace c: added", ("tenants", 0, "name", "c")),
            ("workspace a: burst 5.0 -> 6.0", ("tenants", 0, "burst", 6)),
            (
                "workspace b: keys 1 added, 2 removed",
                ("tenants", 1, "api_keys", ["secret-4"]),
            ),
            (
                "limits: max_body_bytes 1000 -> 2000",
                ("limits", "max_body_bytes", 2000),
            ),
        )
        for line, *changes in cases:
            with self.subTest(line=line):
                lines = self.compare(*changes)
                self.assertIn(line, lines)
                self.assertLessEqual(len(lines), 2)
                self.assertNotIn("secret", "".join(lines))

    def test_version_that_is_not_newer(self):
        """Guards against a version that the daemons ignore."""
        for version in (2, 1):
            content = encode_changed(("version", version))
            _, (found,) = compare_documents(content, IN_FORCE)
            self.assertEqual((found.place, found.is_error), ("version", False))

    def test_version_in_force_that_cannot_be_read(self):
        """Guards against a comparison with an empty configuration."""
        with self.assertRaises(InvalidMessage):
            compare_documents(encode_changed(), b"{}")


if __name__ == "__main__":
    unittest.main()
