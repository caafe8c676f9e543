"""Client for the object store of the platform."""

from goldcresthoist.objects.client import ObjectClient
from goldcresthoist.objects.errors import (
    ObjectMissing,
    ObjectsError,
    ObjectsUnavailable,
)

__all__ = ["ObjectClient", "ObjectMissing", "ObjectsError", "ObjectsUnavailable"]
