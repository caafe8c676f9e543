"""Entry point of ``python -m goldcresthoist.node``."""

import sys

from goldcresthoist.node import main

sys.exit(main())
