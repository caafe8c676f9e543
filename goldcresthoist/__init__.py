"""Load balancer for servers whose load shifts in milliseconds."""

__all__ = ["__version__"]

__version__ = "0.1.0"
