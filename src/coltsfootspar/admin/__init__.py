"""Admin interface of nodes and replicas: JSON over HTTP."""

from coltsfootspar.admin.routes import (
    AdminRequest,
    AdminRouter,
    RawAnswer,
    create_admin_router,
)
from coltsfootspar.admin.tables import decode_edits, encode_edits, encode_table

__all__ = [
    "AdminRequest",
    "AdminRouter",
    "RawAnswer",
    "create_admin_router",
    "decode_edits",
    "encode_edits",
    "encode_table",
]
