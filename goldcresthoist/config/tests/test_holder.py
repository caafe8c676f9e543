"""Tests of `ConfigurationHolder`."""

import unittest

import msgspec

from goldcresthoist.config.holder import ConfigurationHolder, content_digest
from goldcresthoist.config.tests.builders import make_content


class ConfigurationHolderTest(unittest.TestCase):
    """Guards against a configuration that is reverted or was never accepted."""

    def test_only_a_higher_version_is_put_in_force(self):
        holder = ConfigurationHolder()
        newer, older = make_content("t", slots=9), make_content("t", slots=3)
        self.assertTrue(holder.put_if_newer("t", 2, newer))
        self.assertFalse(holder.put_if_newer("t", 1, older))
        self.assertFalse(holder.put_if_newer("t", 2, older))
        self.assertEqual(holder.service("t-read").slots, 9)
        self.assertEqual(holder.version_of("t"), 2)

    def test_content_must_match_digest_and_team(self):
        holder = ConfigurationHolder()
        content = make_content("t")
        wrong = content_digest(content + b" ")
        self.assertFalse(holder.put_if_newer("t", 1, content, wrong))
        self.assertFalse(holder.put_if_newer("u", 1, content))
        self.assertFalse(holder.put_if_newer("t", 1, content[:-3]))
        self.assertFalse(holder.put_if_newer("t", 1, b"\xff\xfe{"))
        self.assertIsNone(holder.in_force("t"))
        self.assertTrue(holder.put_if_newer("t", 1, content, content_digest(content)))

    def test_json_and_msgpack_give_the_same_configuration(self):
        holder = ConfigurationHolder()
        as_msgpack = make_content("t")
        as_json = msgspec.json.encode(msgspec.msgpack.decode(as_msgpack))
        holder.put_if_newer("t", 1, as_msgpack)
        service = holder.service("t-read")
        holder.put_if_newer("t", 2, as_json)
        self.assertEqual(holder.service("t-read"), service)

    def test_removed_service_is_no_longer_found(self):
        holder = ConfigurationHolder()
        holder.put_if_newer("t", 1, make_content("t", "a", "b"))
        self.assertIsNotNone(holder.service("a"))
        holder.put_if_newer("t", 2, make_content("t", "b"))
        self.assertIsNone(holder.service("a"))
        self.assertIsNotNone(holder.service("b"))

    def test_service_of_two_teams_is_resolved_independently_of_order(self):
        for order in (("t", "u"), ("u", "t")):
            holder = ConfigurationHolder()
            for team in order:
                slots = 3 if team == "t" else 9
                holder.put_if_newer(team, 1, make_content(team, "a", slots=slots))
            self.assertEqual(holder.service("a").slots, 3)
