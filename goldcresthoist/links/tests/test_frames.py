"""Tests of the frame codec."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from goldcresthoist.links.errors import CorruptFrame
from goldcresthoist.links.frames import (
    Body,
    Cancel,
    FrameDecoder,
    Head,
    LoadReport,
    Ping,
    encode_frame,
)
from goldcresthoist.links.tests.builders import make_open

MESSAGES = [
    Ping(1),
    make_open(7, b"body"),
    Body(7, bytes(30_000), False),
    Head(7, 200, ((b"a", b"b"),), LoadReport(1, 2, 12, 0.5, True), b"x", True),
    Cancel(7),
]


class OpenTest(unittest.TestCase):
    def test_call_of_an_earlier_release_may_wait_for_a_slot(self):
        """Guards against hedges of earlier deployments that are treated differently.

        Their messages end before the last field.
        """
        message = make_open(7, b"body")
        fields = msgspec.structs.astuple(message)[:-1]
        payload = msgspec.msgpack.encode((4, *fields))
        frame = len(payload).to_bytes(4, "big") + payload
        (received,) = FrameDecoder().feed(frame)
        self.assertEqual(received, message)
        self.assertFalse(received.spare_slot_only)


class FrameDecoderTest(unittest.TestCase):
    """Guards against decoding that depends on how TCP splits the stream."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(1, 4096), min_size=1, max_size=40))
    def test_any_split_gives_the_same_messages(self, sizes):
        data = b"".join(encode_frame(message) for message in MESSAGES)
        decoder = FrameDecoder()
        received = []
        for size in sizes:
            received += decoder.feed(data[:size])
            data = data[size:]
        received += decoder.feed(data)
        self.assertEqual(received, MESSAGES)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=64))
    def test_random_bytes_decode_or_raise_corrupt_frame(self, data):
        try:
            FrameDecoder(max_bytes=1024).feed(data)
        except CorruptFrame:
            pass


if __name__ == "__main__":
    unittest.main()
