"""Imports of package members at their first use."""

import importlib

__all__ = ["lazy_members"]


def lazy_members(package, modules):
    """Return the ``__getattr__`` of a package that imports members on demand.

    A daemon on a small instance is away for as long as its imports take, so packages
    that hold both light and heavy modules load each one only when it is used.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict
        Names of members by the submodule that defines them.
    """
    module_of = {name: module for module, names in modules.items() for name in names}

    def load(name):
        if name not in module_of:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{module_of[name]}")
        return getattr(module, name)

    return load
