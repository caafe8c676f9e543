"""Tests of the questionnaire and of the configuration made from it."""

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

# (path of the answer, wrong value, texts that the error must contain)
WRONG = [
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
    """Return the valid answers with one of them replaced."""
    document = copy.deepcopy(VALID)
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return document


def read(document):
    return Questionnaire.from_text(yaml.safe_dump(document), "team.yaml")


class WrongAnswerTest(unittest.TestCase):
    """Guards against wrong answers that are accepted or explained badly."""

    def check(self, document, texts):
        with self.assertRaises(InvalidAnswer) as caught:
            read(document)
        message = str(caught.exception)
        self.assertTrue(message.startswith("team.yaml: "), message)
        self.assertNotIn("\n", message)
        for text in texts:
            self.assertIn(text, message)

    def test_wrong_answers(self):
        for path, value, texts in WRONG:
            with self.subTest(path=path, value=value):
                self.check(changed(path, value), texts)

    def test_odd_key_stays_in_one_line(self):
        """Guards against an error of several lines."""
        self.check({**VALID, "a\nb" * 200: 1}, ["unknown key"])

    def test_missing_answer(self):
        document = copy.deepcopy(VALID)
        del document["services"][0]["work"][0]["usual_ms"]
        self.check(document, ["services[0].work[0].usual_ms", "missing"])

    def test_duplicate_service(self):
        document = copy.deepcopy(VALID)
        document["services"].append(document["services"][0])
        self.check(document, ["services[1].name = 'ledger'", "services[0].name"])

    def test_work_that_overlaps(self):
        other = {**VALID["services"][0]["work"][0], "name": "o", "path": "/entries/"}
        document = copy.deepcopy(VALID)
        document["services"][0]["work"].append(other)
        self.check(document, ["work[2].path = '/entries/'", "overlaps work entry"])

    def test_upload_overlaps_the_methods_that_resume_it(self):
        """Guards against a PATCH that is both an upload part and other work."""
        upload = {**VALID["services"][0]["work"][1], "name": "u", "kind": "upload"}
        patch = {**VALID["services"][0]["work"][1], "name": "p", "method": "PATCH"}
        document = copy.deepcopy(VALID)
        document["services"][0]["work"] = [upload, patch]
        self.check(document, ["work[1].path", "overlaps work u", "PATCH"])

    def test_malformed_documents(self):
        for text in ("", "[]", "a: [", "team: a\nteam: b", "a: !!int ''", "[" * 3000):
            with self.subTest(text=text[:20]), self.assertRaises(InvalidAnswer):
                Questionnaire.from_text(text)

    def test_huge_alias_expansion_is_cut_in_the_message(self):
        """Guards against an error message that expands nested aliases."""
        levels = ["a: &a0 [x, x, x, x, x, x, x, x, x]"]
        levels += [
            f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 9)}]" for i in range(1, 12)
        ]
        with self.assertRaises(InvalidAnswer) as caught:
            Questionnaire.from_text("\n".join([*levels, "team: *a11"]))
        self.assertLess(len(str(caught.exception)), 2000)


class GenerationTest(unittest.TestCase):
    def test_defaults(self):
        service = generate(read(VALID)).services[0]
        self.assertEqual((service.slots, service.short_slots), (12, 4))
        self.assertEqual((service.queue_limit, service.connections), (48, 220))
        self.assertEqual(service.measuring_share, 0.01)
        self.assertEqual((service.retry_share, service.hedge_share), (0.04, 0.04))
        self.assertEqual(service.work[1].kind, AtMostOnce())
        self.assertEqual((service.work[0].usual_s, service.work[0].weight), (0.005, 1))

    def test_no_short_slots_without_long_work(self):
        document = changed((*ACCESSION, "usual_ms"), 6)
        self.assertEqual(generate(read(document)).services[0].short_slots, 0)

    def test_prefix_matches_whole_segments(self):
        """Guards against /entries taking the requests of /entries-archive."""
        service = generate(read(VALID)).services[0]
        self.assertEqual(service.rule_for("GET", "/entries/7?x=1").name, "entry")
        self.assertEqual(service.rule_for("GET", "/entries?x=/a").name, "entry")
        self.assertIsNone(service.rule_for("GET", "/entries-archive"))


class ExamplesTest(unittest.TestCase):
    """Guards against examples that the program itself refuses."""

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

    def test_example_settings_name_a_service_of_the_archive(self):
        settings = Settings.from_file(EXAMPLES / "settings.yaml")
        team = generate(Questionnaire.from_file(EXAMPLES / "archive.yaml"))
        self.assertIn(settings.service, [service.name for service in team.services])
        self.assertIn(settings.failure_domain, team.failure_domains)

    def test_error_does_not_show_a_secret(self):
        """Guards against a mistyped key that ends up in a log."""
        document = yaml.safe_load((EXAMPLES / "settings.yaml").read_text())
        document["shared_key"] = "not-hex-but-secret"
        with self.assertRaises(InvalidSetting) as caught:
            Settings.from_document(document, "s.yaml")
        self.assertIn("shared_key", str(caught.exception))
        self.assertNotIn("not-hex-but-secret", str(caught.exception))
