"""Load balancer for servers whose load shifts in milliseconds."""

import os

__all__ = ["__version__"]

__version__ = "0.1.0"

# libuv reads this variable when uvloop is first imported. Without it, libuv may use
# io_uring for file operations, which is not available on the instances. The daemon
# disables io_uring for event polling separately, see `goldcresthoist._io_uring`.
os.environ["UV_USE_IO_URING"] = "0"
