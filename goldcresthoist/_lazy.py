"""Lazy imports of package members (PEP 562)."""

import importlib

__all__ = ["lazy_members"]


def lazy_members(package, modules):
    """Return a module ``__getattr__`` that imports package members at their first use.

    A daemon that restarts takes no calls until its imports are done, which takes
    noticeable time on a small instance. Packages with both light and heavy modules
    therefore load each module only when one of its members is used.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict of str to iterable of str
        Maps each submodule to the names of the members that it defines.

    Returns
    -------
    callable
        The function to assign to ``__getattr__`` in the package.
    """
    submodule_by_member = {
        name: module for module, names in modules.items() for name in names
    }

    def import_member(name):
        if name not in submodule_by_member:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{submodule_by_member[name]}")
        return getattr(module, name)

    return import_member
