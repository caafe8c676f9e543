"""Load balancer for servers whose load shifts in milliseconds."""

import os

__all__ = ["__version__"]

__version__ = "0.1.0"

# libuv reads this when uvloop is first imported, and may otherwise use io_uring for
# files, which instances do not offer. The daemon also refuses io_uring for polling.
os.environ["UV_USE_IO_URING"] = "0"
