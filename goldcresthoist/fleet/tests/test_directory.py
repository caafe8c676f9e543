"""Tests of the exchange of rosters between daemons."""

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
        directory.merge_record(make_record(ip))
    return directory, channel


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.directory, self.channel = make_directory(IPS[0], IPS)

    def request(self, digest):
        """Return the types of the messages sent in reply to a roster request."""
        self.channel.sent.clear()
        self.channel.deliver(RosterRequest(IPS[1], digest), IPS[1])
        return [type(message) for message, _ in self.channel.sent]

    def test_equal_digest_gets_no_roster(self):
        """Guards against rosters that repeat what each daemon has read from the store.

        Without the digest, each of 300 starting daemons requested the roster of 24 KB
        six times.
        """
        other, _ = make_directory(IPS[1], IPS)
        self.assertEqual(self.request(other.digest()), [])

    def test_digest_without_a_member_gets_a_roster(self):
        """Guards against a member that a new daemon never discovers.

        The announcements of a member may be lost, so its record must come in a roster.
        """
        other, _ = make_directory(IPS[1], IPS[:2])
        self.assertEqual(self.request(other.digest()), [Roster])
        self.assertEqual(self.request(b""), [Roster])

    def test_digest_with_an_outdated_record_gets_a_roster(self):
        """Guards against the restart of a member that other daemons never discover.

        A restart changes only the start time in the record, which the digest covers.
        """
        other, _ = make_directory(IPS[1], IPS)
        self.directory.merge_record(make_record(IPS[2], born_ms=2))
        self.assertEqual(self.request(other.digest()), [Roster])

    def test_digest_with_an_old_service_gets_a_roster(self):
        """Guards against a changed service that other daemons never discover.

        The digest is cached, so `replace_own` has to discard the cached one.
        """
        before = self.directory.digest()
        self.directory.replace_own(make_record(IPS[0], service="listen", born_ms=2))
        self.assertEqual(self.request(before), [Roster])

    def test_departures_are_always_sent(self):
        """Guards against an acknowledged departure that is lost in a restart.

        The restarted daemon needs the departure even when no member has changed.
        """
        self.directory.add_departure(Departed(IPS[1], "i-1", 7))
        other, _ = make_directory(IPS[1], IPS)
        self.assertEqual(self.request(other.digest()), [Departed])


if __name__ == "__main__":
    unittest.main()
