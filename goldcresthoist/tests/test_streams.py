"""Tests of the buffers of bodies."""

import unittest

from goldcresthoist.streams import MAX_JOINED_BYTES, SMALL_PIECE_BYTES, BodyStream


class SmallPiecesTest(unittest.IsolatedAsyncioTestCase):
    def test_small_pieces_take_little_memory(self):
        """Guards against a body in chunks of one byte that fills the memory.

        Each piece would be an object of its own, 50 times its size.
        """
        body = BodyStream()
        for _ in range(4 * MAX_JOINED_BYTES):
            body.feed(b"a")
        self.assertLessEqual(len(body.chunks), 5)
        self.assertEqual(body.take(), b"a" * 4 * MAX_JOINED_BYTES)

    async def test_order_of_joined_pieces(self):
        """Guards against bytes of a body that are lost or exchanged."""
        pieces = [
            bytes([number % 256]) * (number * 37 % (2 * SMALL_PIECE_BYTES))
            for number in range(300)
        ]
        body = BodyStream()
        received = []
        for number, piece in enumerate(pieces):
            body.feed(piece)
            if number % 100 == 50:
                data = await body.read()
                self.assertIs(type(data), bytes)
                received.append(data)
        body.end()
        while data := await body.read():
            received.append(data)
        self.assertEqual(b"".join(received), b"".join(pieces))
        self.assertTrue(body.exhausted)


if __name__ == "__main__":
    unittest.main()
