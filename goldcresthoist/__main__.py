"""Entry point of ``python -m goldcresthoist``."""

import sys

from goldcresthoist.cli import main

if __name__ == "__main__":
    sys.exit(main())
