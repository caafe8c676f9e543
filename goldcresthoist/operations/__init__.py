"""At-most-once operations and resumable uploads."""

from goldcresthoist.operations.errors import (
    InvalidOperationKey,
    MissingPart,
    OperationsError,
)
from goldcresthoist.operations.expiry import UploadExpiry
from goldcresthoist.operations.ledger import OperationLedger
from goldcresthoist.operations.uploads import UploadReceiver

__all__ = [
    "InvalidOperationKey",
    "MissingPart",
    "OperationLedger",
    "OperationsError",
    "UploadExpiry",
    "UploadReceiver",
]
