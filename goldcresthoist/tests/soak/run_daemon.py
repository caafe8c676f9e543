"""Entry point of the daemon of the soak test.

It loads little before `main`, since a daemon may get signals as soon as it starts.
"""

import sys

from goldcresthoist.node import main


def prepare():
    """Apply the settings of the soak test."""
    from goldcresthoist.tests.soak.daemon import prepare as prepare_modules

    prepare_modules()


if __name__ == "__main__":
    sys.exit(main(prepare))
