"""Tests of questionnaires and of the configuration that is generated from them."""

import copy
import unittest
from pathlib import Path

import yaml

from goldcresthoist.config import (
    AtMostOnce,
    InvalidAnswer,
    InvalidSetting,
    Questionnaire,
    Read,
    Repeatable,
    Settings,
    Upload,
    generate,
)

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

VALID = {
    "team": "archive",
    "places": [{"name": "a", "region": "north"}, {"name": "b", "region": "north"}],
    "services": [
        {
            "name": "ledger",
            "work": [
                {
                    "name": "entry",
                    "method": "GET",
                    "path": "/entries",
                    "kind": "read",
                    "usual_ms": 5,
                    "longest_ms": 1000,
                },
                {
                    "name": "accession",
                    "method": "POST",
                    "path": "/accessions",
                    "kind": "at-most-once",
                    "usual_ms": 50,
                    "longest_ms": 9000,
                    "weight": 5,
                },
            ],
        }
    ],
    "duties": {"hours": "mon-fri 08:00-18:00", "retry_budget": 0.04},
}
ENTRY = ("services", 0, "work", 0)
ACCESSION = ("services", 0, "work", 1)

# (path of the answer, invalid value, texts that the error message must contain)
INVALID = [
    (("team",), 7, ["team = 7", "name of 1 to 63"]),
    (("team",), "Archive!", ["team = 'Archive!'"]),
    (("places",), [], ["places = []", "list of 1 to"]),
    (("places", 1, "name"), "a", ["places[1].name = 'a'", "places[0].name"]),
    (("services", 0, "slots"), 0, ["services[0].slots = 0", "from 1 to 1000"]),
    (("services", 0, "slots"), True, ["slots = True", "whole number"]),
    (("services", 0, "colour"), "red", ["services[0].colour = 'red'", "unknown key"]),
    ((*ENTRY, "kind"), "write", ["kind = 'write'", "read, repeatable, at-most-once"]),
    ((*ENTRY, "usual_ms"), "8ms", ["usual_ms = '8ms'", "milliseconds"]),
    ((*ENTRY, "usual_ms"), float("nan"), ["usual_ms = nan", "milliseconds"]),
    ((*ENTRY, "longest_ms"), 4, ["longest_ms = 4", "at least usual_ms = 5"]),
    ((*ENTRY, "weight"), 0, ["weight = 0", "above 0"]),
    ((*ENTRY, "weight"), -1, ["weight = -1", "above 0"]),
    ((*ENTRY, "path"), "entries", ["path = 'entries'", "path prefix"]),
    ((*ENTRY, "path"), "/-/x", ["path = '/-/x'", "reserved"]),
    ((*ENTRY, "path"), "/a/../b", ["path = '/a/../b'"]),
    ((*ENTRY, "name"), "accession", ["work[1].name = 'accession'", "work[0].name"]),
    ((*ACCESSION, "method"), "GET", ["method = 'GET'", "at-most-once", "POST"]),
    ((*ACCESSION, "method"), "post", ["method = 'post'", "POST"]),
    (("duties", "hours"), "09:00 to 17:00", ["duties.hours", "mon-fri"]),
    (("duties", "hours"), "25:00-26:00", ["duties.hours = '25:00-26:00'"]),
    (("duties", "hours"), "mon-xyz 08:00-18:00", ["unknown day"]),
    (("duties", "hours"), 1080, ["duties.hours = 1080"]),
    (("duties", "retry_budget"), 8, ["retry_budget = 8", "from 0 to 0.1"]),
    (("duties", "measuring_budget"), -0.1, ["measuring_budget = -0.1", "from 0"]),
]


def changed(path, value):
    """Return a copy of the valid document with one answer replaced."""
    document = copy.deepcopy(VALID)
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return document


def parse(document):
    return Questionnaire.from_text(yaml.safe_dump(document), "team.yaml")


class InvalidAnswerTest(unittest.TestCase):
    """Guards against invalid answers that are accepted or badly reported."""

    def check(self, document, texts):
        with self.assertRaises(InvalidAnswer) as caught:
            parse(document)
        message = str(caught.exception)
        self.assertTrue(message.startswith("team.yaml: "), message)
        self.assertNotIn("\n", message)
        for text in texts:
            self.assertIn(text, message)

    def test_invalid_answers(self):
        for path, value, texts in INVALID:
            with self.subTest(path=path, value=value):
                self.check(changed(path, value), texts)

    def test_unknown_key_with_line_breaks_is_reported_on_one_line(self):
        """Guards against an error message that spans several lines."""
        self.check({**VALID, "a\nb" * 200: 1}, ["unknown key"])

    def test_missing_answer(self):
        document = copy.deepcopy(VALID)
        del document["services"][0]["work"][0]["usual_ms"]
        self.check(document, ["services[0].work[0].usual_ms", "missing"])

    def test_duplicate_service(self):
        document = copy.deepcopy(VALID)
        document["services"].append(document["services"][0])
        self.check(document, ["services[1].name = 'ledger'", "services[0].name"])

    def test_work_entries_with_the_same_route(self):
        other = {**VALID["services"][0]["work"][0], "name": "o", "path": "/entries/"}
        document = copy.deepcopy(VALID)
        document["services"][0]["work"].append(other)
        self.check(document, ["work[2].path = '/entries/'", "overlaps work entry"])

    def test_upload_overlaps_with_work_that_uses_its_resume_methods(self):
        """Guards against a PATCH that matches both an upload and other work."""
        upload = {**VALID["services"][0]["work"][1], "name": "u", "kind": "upload"}
        patch = {**VALID["services"][0]["work"][1], "name": "p", "method": "PATCH"}
        document = copy.deepcopy(VALID)
        document["services"][0]["work"] = [upload, patch]
        self.check(document, ["work[1].path", "overlaps work u", "PATCH"])

    def test_malformed_documents(self):
        for text in ("", "[]", "a: [", "team: a\nteam: b", "a: !!int ''", "[" * 3000):
            with self.subTest(text=text[:20]), self.assertRaises(InvalidAnswer):
                Questionnaire.from_text(text)

    def test_huge_alias_expansion_is_truncated_in_the_message(self):
        """Guards against a huge error message from nested YAML aliases."""
        levels = ["a: &a0 [x, x, x, x, x, x, x, x, x]"]
        levels += [
            f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 9)}]" for i in range(1, 12)
        ]
        with self.assertRaises(InvalidAnswer) as caught:
            Questionnaire.from_text("\n".join([*levels, "team: *a11"]))
        self.assertLess(len(str(caught.exception)), 2000)


class GenerationTest(unittest.TestCase):
    def test_defaults(self):
        service = generate(parse(VALID)).services[0]
        self.assertEqual((service.slots, service.short_slots), (12, 4))
        self.assertEqual((service.queue_limit, service.connections), (48, 220))
        self.assertEqual(service.measuring_share, 0.01)
        self.assertEqual((service.retry_share, service.hedge_share), (0.04, 0.04))
        self.assertEqual(service.work[1].kind, AtMostOnce())
        self.assertEqual((service.work[0].usual_s, service.work[0].weight), (0.005, 1))

    def test_no_short_slots_without_long_work(self):
        document = changed((*ACCESSION, "usual_ms"), 6)
        self.assertEqual(generate(parse(document)).services[0].short_slots, 0)

    def test_prefix_matches_whole_segments(self):
        """Guards against the prefix /entries matching /entries-archive."""
        service = generate(parse(VALID)).services[0]
        self.assertEqual(service.rule_for("GET", "/entries/7?x=1").name, "entry")
        self.assertEqual(service.rule_for("GET", "/entries?x=/a").name, "entry")
        self.assertIsNone(service.rule_for("GET", "/entries-archive"))


class ExamplesTest(unittest.TestCase):
    """Guards against example files that the program rejects."""

    def test_examples_cover_all_kinds(self):
        for name, connections in (("archive", 220), ("souss", 260)):
            team = generate(Questionnaire.from_file(EXAMPLES / f"{name}.yaml"))
            kinds = {
                type(work.kind) for service in team.services for work in service.work
            }
            self.assertEqual(kinds, {Read, Repeatable, AtMostOnce, Upload})
            self.assertEqual(len(team.failure_domains), 3)
            for service in team.services:
                self.assertEqual(service.slots, 12)
                self.assertEqual(service.connections, connections)

    def test_example_settings_match_the_archive_questionnaire(self):
        settings = Settings.from_file(EXAMPLES / "settings.yaml")
        team = generate(Questionnaire.from_file(EXAMPLES / "archive.yaml"))
        self.assertIn(settings.service, [service.name for service in team.services])
        self.assertIn(settings.failure_domain, team.failure_domains)

    def test_error_does_not_contain_a_secret(self):
        """Guards against an invalid shared key that is written to a log."""
        document = yaml.safe_load((EXAMPLES / "settings.yaml").read_text())
        document["shared_key"] = "not-hex-but-secret"
        with self.assertRaises(InvalidSetting) as caught:
            Settings.from_document(document, "s.yaml")
        self.assertIn("shared_key", str(caught.exception))
        self.assertNotIn("not-hex-but-secret", str(caught.exception))

    def test_misspelt_secret_is_not_shown(self):
        """Guards against a secret in a log because its key was misspelt."""
        document = yaml.safe_load((EXAMPLES / "settings.yaml").read_text())
        document["secret_kye"] = "very-secret"
        with self.assertRaises(InvalidSetting) as caught:
            Settings.from_document(document, "s.yaml")
        self.assertIn("secret_kye", str(caught.exception))
        self.assertNotIn("very-secret", str(caught.exception))

    def test_document_that_is_no_mapping_is_not_shown(self):
        """Guards against a settings file of another kind that is written to a log."""
        with self.assertRaises(InvalidAnswer) as caught:
            Questionnaire.from_text("- secret_key=very-secret")
        self.assertNotIn("very-secret", str(caught.exception))
