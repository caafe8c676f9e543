"""Runs the tests of the package and prints ``N passed, N failed`` as the last line.

Tests that ``KNOWN-RED.txt`` lists are run too. Their failures are printed, but they do
not count as failures, because each is due to a known fault with an open issue.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path):
    """Return the ids of the tests that the file lists in lines with ``test:``."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    entries = [line.removeprefix("test:") for line in lines if line.startswith("test:")]
    return frozenset(entry.strip() for entry in entries)


class CountingResult(unittest.TextTestResult):
    """Test result that also counts the tests that passed."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed = 0

    def addSuccess(self, test):
        """Count one passed test."""
        super().addSuccess(test)
        self.passed += 1


def failed_test_ids(result):
    """Return the ids of the tests that failed, had an error or passed unexpectedly."""
    failed = {test.id() for test, _ in result.failures + result.errors}
    return failed | {test.id() for test in result.unexpectedSuccesses}


def main(arguments):
    """Run the tests whose id contains one of the arguments, or all tests.

    Returns
    -------
    int
        Exit status: 1 if a test failed that is not listed, or if none was run.
    """
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    loader.testNamePatterns = [f"*{name}*" for name in arguments] or None
    suite = loader.discover(str(ROOT / "goldcresthoist"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=2, resultclass=CountingResult, buffer=True
    )
    result = runner.run(suite)
    failed = failed_test_ids(result)
    known = failed & read_known_red(KNOWN_RED)
    for test_id in sorted(known):
        print(f"known red, see KNOWN-RED.txt: {test_id}")
    unexpected = len(failed - known)
    print(f"{result.passed} passed, {unexpected} failed", flush=True)
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
