"""Tests of the detection of pauses."""

import unittest

from goldcresthoist.pauses import PAUSE_S, READ_WINDOW_S, TICK_S, PauseDetector


class PauseDetectorTest(unittest.TestCase):
    """Guards against a process that acts on a permission that has run out."""

    def setUp(self):
        self.now = 50.0
        self.pauses = PauseDetector(lambda: self.now)

    def pass_time(self, seconds):
        self.now += seconds

    def test_usual_delays_are_no_pause(self):
        for _ in range(5):
            self.pass_time(TICK_S + PAUSE_S - 0.01)
            self.assertEqual(self.pauses.input_age_s(), 0.0)

    def test_input_after_a_pause_may_be_as_old_as_the_pause(self):
        self.pass_time(4.0)
        self.assertEqual(self.pauses.input_age_s(), 4.0)
        self.pass_time(READ_WINDOW_S / 2)
        self.assertEqual(self.pauses.input_age_s(), 4.0)
        self.pass_time(READ_WINDOW_S)
        self.assertEqual(self.pauses.input_age_s(), 0.0)

    def test_timer_that_runs_before_the_input_is_read(self):
        """Timers run before sockets are read, so the tick is not the first input."""
        self.pass_time(4.0)
        self.pauses.tick()
        self.assertEqual(self.pauses.input_age_s(), 4.0)


if __name__ == "__main__":
    unittest.main()
