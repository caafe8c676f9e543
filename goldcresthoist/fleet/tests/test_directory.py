"""Tests of what daemons tell each other of the members."""

import unittest

from goldcresthoist.fleet import Directory
from goldcresthoist.fleet.messages import Departed, Roster, RosterRequest
from goldcresthoist.fleet.tests.builders import FakeChannel, FakeLog, make_record

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def make_directory(own, ips):
    """Return the directory of a daemon that knows some members, and its channel."""
    channel = FakeChannel()
    directory = Directory(make_record(own), channel, FakeLog())
    for ip in ips:
        directory.learn(make_record(ip))
    return directory, channel


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.directory, self.channel = make_directory(IPS[0], IPS)

    def told(self, digest):
        """Return the messages that a question with this digest is answered with."""
        self.channel.sent.clear()
        self.channel.deliver(RosterRequest(IPS[1], digest), IPS[1])
        return [type(message) for message, _ in self.channel.sent]

    def test_daemon_that_knows_all_is_told_nothing(self):
        """Guards against rosters that repeat what each daemon has read in the store.

        Each of 300 daemons that started asked six times for 24 KB.
        """
        other, _ = make_directory(IPS[1], IPS)
        self.assertEqual(self.told(other.digest()), [])

    def test_daemon_that_lacks_one_is_told(self):
        """Guards against a member that a new daemon never hears of."""
        other, _ = make_directory(IPS[1], IPS[:2])
        self.assertEqual(self.told(other.digest()), [Roster])
        self.assertEqual(self.told(b""), [Roster])

    def test_daemon_that_knows_an_earlier_process_is_told(self):
        """Guards against a member whose restart is not heard of."""
        other, _ = make_directory(IPS[1], IPS)
        self.directory.learn(make_record(IPS[2], born_ms=2))
        self.assertEqual(self.told(other.digest()), [Roster])

    def test_changed_service_is_told(self):
        """Guards against a daemon that goes on under its old service at the others."""
        before = self.directory.digest()
        self.directory.replace_own(make_record(IPS[0], service="listen", born_ms=2))
        self.assertEqual(self.told(before), [Roster])

    def test_departures_are_always_told(self):
        """Guards against a restarted daemon that forgets what it acknowledged."""
        self.directory.learn_departure(Departed(IPS[1], "i-1", 7))
        other, _ = make_directory(IPS[1], IPS)
        self.assertEqual(self.told(other.digest()), [Departed])


if __name__ == "__main__":
    unittest.main()
