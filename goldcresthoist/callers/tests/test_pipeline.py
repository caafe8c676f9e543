"""Tests of the order of pipelined responses, without a network."""

import asyncio
import random
import unittest

from goldcresthoist.callers.errors import CallerGone
from goldcresthoist.callers.pipeline import (
    MAX_CONCURRENT_REQUESTS,
    MAX_HELD_BYTES,
    ResponseOrder,
)
from goldcresthoist.callers.tests.builders import FakeConnection, FakeTask


class ResponseOrderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.connection = FakeConnection()
        self.changes = 0
        self.order = ResponseOrder(self.connection, self.record_change)

    def record_change(self):
        """Count the calls of ``on_change``."""
        self.changes += 1

    def open(self, count):
        """Return the writers of ``count`` requests that have a task each."""
        writers = [self.order.open() for _ in range(count)]
        for writer in writers:
            writer.task = FakeTask()
        return writers

    def finish(self, writer, data):
        """Write a response and end its handler."""
        writer.write(data)
        self.order.release(writer)

    def test_responses_are_sent_in_order(self):
        """Guards against the response to one request going to another."""
        first, second, third = self.open(3)
        self.finish(third, b"3")
        second.write(b"2a")
        self.assertEqual((self.connection.sent, self.order.held_bytes), (b"", 3))
        self.finish(first, b"1")
        self.assertEqual((self.connection.sent, self.order.held_bytes), (b"12a", 1))
        # It is the turn of the second one, so its data is sent directly.
        second.write(b"2b")
        self.assertEqual(self.connection.sent, b"12a2b")
        self.order.release(second)
        self.assertEqual((self.connection.sent, self.order.held_bytes), (b"12a2b3", 0))
        self.assertFalse(self.order.writers)

    async def test_held_bytes_are_bounded(self):
        """Guards against unbounded memory, and a deadlock behind a slow response."""
        first, second, third = self.open(3)
        second.write(bytes(MAX_HELD_BYTES))
        self.assertFalse(self.order.has_room())
        third.write(b"3")
        waiting = asyncio.create_task(third.drain())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        first.write(bytes(2 * MAX_HELD_BYTES))
        await asyncio.wait_for(first.drain(), 1.0)
        self.finish(first, b"")
        # Only the bytes of the third response are held now.
        await asyncio.wait_for(waiting, 1.0)
        self.assertEqual(self.order.held_bytes, 1)
        self.assertTrue(self.order.has_room())

    async def test_caller_that_does_not_read_stops_waiting_responses(self):
        """Guards against responses that move to a transport that nobody reads."""
        _, second = self.open(2)
        self.connection.write_paused = True
        waiting = asyncio.create_task(second.drain())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done() or self.order.has_room())
        self.connection.write_paused = False
        self.order.wake_waiters()
        await asyncio.wait_for(waiting, 1.0)

    def test_number_of_requests_is_bounded(self):
        """Guards against one connection that occupies the daemon."""
        first = self.open(MAX_CONCURRENT_REQUESTS)[0]
        self.assertFalse(self.order.has_room())
        self.finish(first, b"1")
        self.assertTrue(self.order.has_room())

    async def test_requests_behind_the_last_response_are_cancelled(self):
        """Guards against responses after one that closes the connection."""
        first, second, third = self.open(3)
        third.write(b"3")
        task = third.task
        second.end_connection()
        self.assertTrue(task.cancelled and third.closed and self.order.closing)
        self.assertEqual((self.order.cancelled, self.order.held_bytes), (1, 0))
        with self.assertRaises(CallerGone):
            await third.drain()
        # The cancelled handler may still write, or break off its response.
        third.write(b"late")
        third.abort()
        self.finish(second, b"2")
        self.finish(first, b"1")
        self.order.release(third)
        self.assertEqual((self.connection.sent, self.connection.ended_by), (b"12", ""))

    def test_response_that_breaks_off_before_its_turn(self):
        """Guards against half a response, and lost responses in front of it."""
        first, second, third = self.open(3)
        second.write(b"half")
        second.abort()
        second.write(b"more")
        self.assertTrue(third.dropped and second.closed)
        self.finish(first, b"1")
        # A handler may end only after the turn of its response has come.
        second.write(b"late")
        second.abort(reset=False)
        self.order.release(second)
        self.assertEqual((self.connection.sent, self.connection.ended_by), (b"1", ""))
        self.assertTrue(self.order.closing and not self.order.writers)

    def test_response_that_breaks_off_in_its_turn(self):
        """Guards against a truncated response that looks complete."""
        first, second = self.open(2)
        first.write(b"half")
        first.abort()
        self.assertEqual(self.connection.ended_by, "reset")
        self.assertTrue(second.dropped)

    def test_all_requests_end_with_the_connection(self):
        """Guards against work that goes on for a caller that left."""
        writers = self.open(3)
        writers[1].write(b"2")
        tasks = [writer.task for writer in writers]
        self.order.drop_all()
        self.assertTrue(all(task.cancelled for task in tasks))
        self.assertEqual((self.order.held_bytes, self.order.cancelled), (0, 0))

    def test_random_orders_of_events(self):
        """Guards against bytes of a response behind, or inside, another one.

        Response n consists of the bytes n, and its last byte is n + 100.
        """
        for seed in range(500):
            generator = random.Random(seed)
            self.setUp()
            writers = dict(enumerate(self.open(MAX_CONCURRENT_REQUESTS)))
            while writers and not self.connection.ended_by:
                number = generator.choice(list(writers))
                writer = writers[number]
                event = generator.choice(("write", "write", "finish", "close", "abort"))
                if event == "abort" and generator.random() < 0.8:
                    continue
                if event == "write":
                    writer.write(bytes([number]))
                    continue
                if event == "close":
                    writer.end_connection()
                if event == "abort":
                    writer.abort()
                    writer.write(b"late")
                else:
                    writer.write(bytes([number + 100]))
                self.order.release(writers.pop(number))
            with self.subTest(seed=seed):
                self.check_sequence(list(self.connection.sent))
                if not self.connection.ended_by:
                    self.assertEqual(self.order.held_bytes, 0)

    def check_sequence(self, sent):
        """Check that complete responses follow each other in order.

        Only the last one may be incomplete, after a reset.
        """
        number = 0
        for index, byte in enumerate(sent):
            self.assertIn(byte, (number, number + 100), (index, sent))
            number += byte >= 100
        if sent and sent[-1] < 100:
            self.assertEqual(self.connection.ended_by, "reset")


if __name__ == "__main__":
    unittest.main()
