"""Tests of the decoders of the platform's formats, with valid and malformed input."""

import unittest

from goldcresthoist.platform import (
    InvalidMessage,
    InvalidNodeSettings,
    NodeSettings,
    decode_announcement,
    decode_configuration,
    decode_departure,
    parse_announcement_path,
)
from goldcresthoist.platform.fields import (
    addressed_headers,
    parse_request_fields,
    parse_response_fields,
    refusal_headers,
    upstream_headers,
)
from goldcresthoist.routes import (
    Download,
    Idempotent,
    NonIdempotent,
    UnknownKind,
    Upload,
    WarmUpLimit,
)
from goldcresthoist.workspaces import Workspace

HEARTBEAT = (
    b'{"address":"10.0.0.1:8000","info":{"service":"ledger","version":"v1",'
    b'"zone":"a","slots":12},"status":{"state":"ready","sequence":4,'
    b'"cold_left_s":1.5},"born":1790000000123,"more":1}'
)
CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/",'
    b'"kind":"non_idempotent","timeout_s":1.5,"aim_s":0.5,"priority":1,'
    b'"service":"s1","max_attempts":2},{"name":"r2","host":"h","prefix":"/b/",'
    b'"kind":"idempotent","timeout_s":1.2,"weighted_services":['
    b'{"service":"s1","weight":90},{"service":"s2","weight":10},'
    b'{"service":"s3","weight":0}],"max_attempts":2},'
    b'{"name":"r3","host":"h","prefix":"/c/","kind":"upload","timeout_s":3,'
    b'"service":"s2"}],"services":[{"name":"s1","health_path":"/health"}],'
    b'"limits":{"max_header_bytes":16384,"idle_timeout_s":15},"base_version":5}'
)
SETTINGS = """
[self]
node_name = "n1"
ip = "10.0.0.1"
zone = "a"
region = "r"
app_addr = "10.0.0.1:8000"
service = "ledger"
unknown = 1
[self.limits]
link_mbps = 50
[network]
inner_port_range = [7600, 7615]
[network.listen]
outbound = "10.0.0.1:8629"
readiness_addr = "10.0.0.1:8625"
control = "10.0.0.1:8620"
[platform.platform]
address = "10.0.0.9:8627"
[terms.bounds]
grace_s = 6
retry_budget_ratio = 0.2
"""


class AnnouncementTest(unittest.TestCase):
    def test_heartbeat(self):
        """Guards against fields of a heartbeat that are mixed up."""
        decoded = decode_announcement("i-1", HEARTBEAT)
        self.assertEqual(decoded.identity, "i-1")
        self.assertEqual((decoded.service, decoded.slots), ("ledger", 12))
        self.assertEqual((decoded.sequence, decoded.cold_s), (4, 1.5))
        self.assertEqual(decoded.born_ms, 1790000000123)
        self.assertFalse(decoded.draining)
        draining = HEARTBEAT.replace(b'"ready"', b'"draining"')
        self.assertTrue(decode_announcement("i-1", draining).draining)

    def test_malformed_heartbeats(self):
        """Guards against malformed heartbeats that are accepted or crash the daemon."""
        bad = (
            b"",
            b"\xff\xfe",
            b"[]",
            b"null",
            HEARTBEAT[:-1],
            HEARTBEAT.replace(b'"ready"', b'"up"'),
            HEARTBEAT.replace(b'"ready"', b"7"),
            HEARTBEAT.replace(b'"slots":12', b'"slots":"12"'),
            HEARTBEAT.replace(b'"slots":12', b'"slots":0'),
            HEARTBEAT.replace(b'"slots":12', b'"slots":999999999'),
            HEARTBEAT.replace(b'"sequence":4', b'"sequence":-4'),
            HEARTBEAT.replace(b"1790000000123", b"1790000000123.5"),
            HEARTBEAT.replace(b'"service":"ledger",', b""),
            HEARTBEAT.replace(b'"slots":12', b'"x":12'),
            HEARTBEAT.replace(b'"sequence":4', b'"x":4'),
            HEARTBEAT.replace(b'"address":"10.0.0.1:8000",', b""),
        )
        for body in bad:
            with self.subTest(body=body), self.assertRaises(InvalidMessage):
                decode_announcement("i-1", body)

    def test_odd_numbers_and_nesting_are_malformed(self):
        """Guards against one odd announcement that no later one can replace.

        A start time or number that is too large cannot be stored or sent either.
        """
        good = b'{"address":"a","info":{"service":"s","slots":1}'
        good += b',"status":{"state":"ready","sequence":1}'
        self.assertEqual(decode_announcement("i-1", good + b"}").sequence, 1)
        nested = b"[" * 100_000 + b"]" * 100_000
        for extra in (b'"born":%d' % 10**30, b'"born":1e400', b'"x":' + nested):
            with self.assertRaises(InvalidMessage):
                decode_announcement("i-1", good + b"," + extra + b"}")
        with self.assertRaises(InvalidMessage):
            decode_announcement(
                "i-1", good.replace(b'"sequence":1', b'"sequence":%d' % 10**30) + b"}"
            )
        with self.assertRaises(InvalidMessage):
            decode_departure("i-1", b'{"born":%d}' % 10**30)

    def test_departure(self):
        """Guards against a deregistration that is rejected for its empty body."""
        self.assertEqual(decode_departure("i-1", b"").born_ms, 0)
        self.assertEqual(decode_departure("i-1", b'{"born":5}').born_ms, 5)
        for body in (b"{", b'{"born":"x"}', b"\xff"):
            with self.subTest(body=body), self.assertRaises(InvalidMessage):
                decode_departure("i-1", body)

    def test_paths(self):
        """Guards against requests for other paths that are handled as announcements."""
        self.assertEqual(
            parse_announcement_path("/Instances.Heartbeat/i-1"), ("Heartbeat", "i-1")
        )
        self.assertEqual(
            parse_announcement_path("/Instances.Deregister/i-1"), ("Deregister", "i-1")
        )
        for path in ("/Instances.Heartbeat/", "/Instances.Other/i", "/x", "/a/b/c"):
            self.assertIsNone(parse_announcement_path(path))


class ConfigurationTest(unittest.TestCase):
    def test_routes(self):
        """Guards against a kind, a weight or a limit that is not decoded correctly."""
        table = decode_configuration(CONFIGURATION)
        self.assertEqual(table.version, 7)
        kinds = [type(route.kind) for route in table.routes]
        self.assertEqual(kinds, [NonIdempotent, Idempotent, Upload])
        weighted_services = [
            (part.service, part.weight) for part in table.routes[1].weighted_services
        ]
        self.assertEqual(weighted_services, [("s1", 90.0), ("s2", 10.0)])
        self.assertEqual(table.routes[1].aim_s, 1.2)
        self.assertEqual(table.routes[2].max_attempts, 1)
        self.assertEqual(table.limits.max_header_bytes, 16384)
        self.assertEqual(table.limits.idle_timeout_s, 15)
        self.assertEqual(table.services, {"s1": "/health"})

    def test_malformed_configurations(self):
        """Guards against a malformed row that replaces the configuration in force."""
        bad = (
            b"",
            b"\xff",
            b"{}",
            CONFIGURATION[:-20],
            CONFIGURATION.replace(b'"version":7', b'"version":"7"'),
            CONFIGURATION.replace(b'"upload"', b"7"),
            CONFIGURATION.replace(b'"limits":{', b'"limits":{"max_body_bytes":"x",'),
            b"[]",
            CONFIGURATION.replace(b'"timeout_s":3,"service":"s2"', b'"timeout_s":3'),
            CONFIGURATION.replace(b'"timeout_s":1.5,', b""),
        )
        for content in bad:
            with self.subTest(content=content), self.assertRaises(InvalidMessage):
                decode_configuration(content)

    def test_large_responses_may_be_repeated(self):
        """Guards against a platform that is not served for a kind of its own.

        On all days of the site sdnp-mesh, daemons ignored the configuration and refused
        every caller, because the kind "download" was not known.
        """
        content = CONFIGURATION.replace(b'"upload"', b'"download"')
        route = decode_configuration(content).routes[2]
        self.assertEqual(route.kind, Download())
        self.assertTrue(route.repeatable)
        self.assertTrue(route.large_responses)

    def test_unknown_kind_is_the_most_restricted_one(self):
        """Guards against one new kind that takes all routes out of service.

        It must not be guessed either: its requests are executed at most once, at one
        upstream.
        """
        content = CONFIGURATION.replace(b'"idempotent"', b'"stream"')
        table = decode_configuration(content)
        self.assertEqual(table.routes[1].kind, UnknownKind("stream"))
        self.assertFalse(table.routes[1].repeatable)
        self.assertEqual(table.routes[1].max_attempts, 1)
        self.assertEqual(table.unknown, ("kind 'stream'",))
        self.assertEqual(type(table.routes[0].kind), NonIdempotent)
        self.assertEqual(table.routes[0].max_attempts, 2)

    def test_unknown_fields_are_named(self):
        """Guards against a setting that operators believe to be in force."""
        content = CONFIGURATION
        for old, new in (
            (b'"version":7', b'"version":7,"regions":[]'),
            (b'"name":"r1"', b'"name":"r1","mirror":"s2"'),
            (b'"name":"r2"', b'"name":"r2","mirror":"s3"'),
            (b'"weight":90', b'"weight":90,"zone":"a"'),
            (b'"health_path"', b'"warm_s":3,"health_path"'),
            (b'"limits":{', b'"limits":{"rate":5,'),
        ):
            content = content.replace(old, new)
        self.assertEqual(
            decode_configuration(content).unknown,
            (
                "field regions",
                "field limits.rate",
                "field services[].warm_s",
                "field routes[].mirror",
                "field routes[].weighted_services[].zone",
            ),
        )
        self.assertEqual(decode_configuration(CONFIGURATION).unknown, ())

    def test_workspaces(self):
        """Guards against workspaces, limits or public routes that are misread."""
        content = CONFIGURATION.replace(
            b'"base_version":5',
            b'"tenants":[{"name":"a","api_keys":["k"],"priority":0,"rate_per_s":5,'
            b'"burst":7.5},{"name":"b","api_keys":[],"priority":null}]',
        ).replace(b'"name":"r3"', b'"public":true,"name":"r3"')
        content = content.replace(
            b'"health_path"', b'"cold_start_s":3.0,"cold_per_s":7.5,"health_path"'
        )
        table = decode_configuration(content)
        first = table.workspaces.by_name["a"]
        self.assertEqual(first, Workspace("a", ("k",), 0, 5.0, 7.5))
        self.assertEqual(table.workspaces.by_name["b"], Workspace("b", ()))
        self.assertEqual([item.public for item in table.routes], [False, False, True])
        self.assertEqual(table.warm_up_limits, {"s1": WarmUpLimit(3.0, 7.5)})
        self.assertEqual(table.unknown, ())
        for tenants in (b'"tenants":[]', b'"tenants":null', b'"base_version":5'):
            content = CONFIGURATION.replace(b'"base_version":5', tenants)
            self.assertIsNone(decode_configuration(content).workspaces)
        for tenants in (b'"tenants":[{"api_keys":["k"]}]', b'"tenants":{"a":1}'):
            content = CONFIGURATION.replace(b'"base_version":5', tenants)
            with self.assertRaises(InvalidMessage):
                decode_configuration(content)

    def test_host_names_match_in_any_case(self):
        """Guards against a route that no request matches."""
        content = CONFIGURATION.replace(b'"host":"h"', b'"host":"H.Example"')
        table = decode_configuration(content)
        self.assertEqual(table.route_for("h.example", "/c/1").name, "r3")


class SettingsTest(unittest.TestCase):
    def test_settings(self):
        """Guards against addresses in the settings that are mixed up."""
        decoded = NodeSettings.from_text(SETTINGS)
        self.assertEqual(decoded.caller_address, "10.0.0.1:8629")
        self.assertEqual(decoded.announce_address, "10.0.0.1:8620")
        self.assertEqual(decoded.readiness_address, "10.0.0.1:8625")
        self.assertEqual((decoded.link_port, decoded.gossip_port), (7600, 7601))
        self.assertEqual(decoded.store_address, "10.0.0.9:8627")
        self.assertEqual(decoded.bounds.stop_grace_s, 6.0)
        self.assertEqual(decoded.bounds.contact_s, 3.0)

    def test_bad_settings_name_the_key_and_the_value(self):
        """Guards against a daemon that does not start and does not log the reason."""
        cases = (
            ('node_name = "n1"', "", "self.node_name"),
            ("[7600, 7615]", "[7600]", "network.inner_port_range"),
            ("[7600, 7615]", "[7600, 99999]", "99999"),
            ('"10.0.0.1:8629"', '"10.0.0.1"', "network.listen.outbound"),
            ("grace_s = 6", "grace_s = -6", "terms.bounds.grace_s is -6"),
            ("[self]", "[self", "not TOML"),
        )
        for old, new, expected in cases:
            with self.subTest(old=old):
                with self.assertRaises(InvalidNodeSettings) as caught:
                    NodeSettings.from_text(SETTINGS.replace(old, new), "boot.toml")
                self.assertIn(expected, str(caught.exception))
                self.assertIn("boot.toml", str(caught.exception))


class FieldsTest(unittest.TestCase):
    def test_request(self):
        """Guards against a deadline in the wrong unit, or one that is not a number."""
        decoded = parse_request_fields(
            [(b"request-id", b"x"), (b"deadline-ms", b"1200")]
        )
        self.assertEqual((decoded.request_id, decoded.wait_s), (b"x", 1.2))
        for value in (b"", b"-5", b"1e3", b"9" * 40):
            decoded = parse_request_fields([(b"deadline-ms", value)])
            self.assertIsNone(decoded.wait_s)

    def test_callers_cannot_set_the_daemons_fields(self):
        """Guards against a caller that claims to be another service.

        It could send the daemons' fields itself, so those in its request are removed.
        """
        sent = [
            (b"request-id", b"x"),
            (b"caller-service", b"forged"),
            (b"expect-instance", b"forged"),
            (b"deadline-ms", b"9"),
            (b"accept", b"*/*"),
        ]
        headers = addressed_headers(upstream_headers(sent, b"ledger"), "i-1", 500)
        self.assertEqual(
            headers,
            (
                (b"request-id", b"x"),
                (b"accept", b"*/*"),
                (b"caller-service", b"ledger"),
                (b"expect-instance", b"i-1"),
                (b"deadline-ms", b"500"),
            ),
        )

    def test_workspace_fields(self):
        """Guards against a key that is passed on, or a name that the caller chose.

        Without workspaces in the configuration, the fields are those of the caller.
        """
        sent = [(b"x-api-key", b"secret"), (b"tenant-id", b"forged")]
        service = (b"caller-service", b"ledger")
        self.assertEqual(upstream_headers(sent, b"ledger"), (*sent, service))
        self.assertEqual(upstream_headers(sent, b"ledger", ""), (service,))
        self.assertEqual(
            upstream_headers(sent, b"ledger", "ours"),
            (service, (b"tenant-id", b"ours")),
        )
        fields = parse_request_fields(sent)
        self.assertEqual(fields.key, b"secret")
        self.assertNotIn("secret", repr(fields))

    def test_warm_up(self):
        """Guards against a malformed time that counts as a long or no warm-up."""
        for value, expected in ((b"1500", 1.5), (b"0", 0.0), (b"-1", None)):
            fields = parse_response_fields([(b"cold-remaining-ms", value)])
            self.assertEqual(fields.warm_up_s, expected)
        for value in (b"", b"1e3", b"nan", b"9" * 30):
            fields = parse_response_fields([(b"cold-remaining-ms", value)])
            self.assertIsNone(fields.warm_up_s, value)
        self.assertIsNone(parse_response_fields([]).warm_up_s)

    def test_response(self):
        """Guards against a load or a "not-executed" field that is misread."""
        decoded = parse_response_fields(
            [(b"server-load", b"3,1,8,700"), (b"response-seal", b"s")]
        )
        self.assertEqual((decoded.running, decoded.waiting, decoded.slots), (3, 1, 8))
        self.assertEqual(
            (decoded.pace, decoded.sealed, decoded.not_executed), (7.0, True, False)
        )
        decoded = parse_response_fields(
            [(b"not-executed", b"1"), (b"server-load", b"3,1,8")]
        )
        self.assertEqual((decoded.pace, decoded.not_executed), (0.0, True))
        for load in (b"", b"a,b,c", b"1", b"1,2,3,inf,", b"1e999,2,3"):
            decoded = parse_response_fields([(b"server-load", load)])
            self.assertEqual((decoded.running, decoded.pace), (-1, 0.0), load)

    def test_load_that_is_no_number_is_ignored(self):
        """Guards against an upstream that looks infinitely slow to all daemons."""
        for value in (b"1,0,12,inf", b"1,0,12,nan", b"1,0,12,1e999", b"inf,0,12,100"):
            with self.subTest(value=value):
                fields = parse_response_fields([(b"server-load", value)])
                self.assertEqual((fields.pace, fields.running), (0.0, -1))

    def test_refusal(self):
        """Guards against a Retry-After below one second that is rounded to zero."""
        headers = dict(refusal_headers(b"x", 0.08))
        self.assertEqual(headers[b"Retry-After"], b"0.080")
        self.assertNotIn(b"Retry-After", dict(refusal_headers(None, 0.0)))
