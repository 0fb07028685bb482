"""Requests, replies and the context that is propagated with them."""

from coltsfootspar.calls.context import (
    CallContext,
    CallScope,
    ContextStore,
    Priority,
    create_context_store,
    hash_priority_bucket,
)
from coltsfootspar.calls.messages import (
    CallReply,
    CallRequest,
    Header,
    Outcome,
    OverloadSignal,
    Refusal,
    find_header,
)

__all__ = [
    "CallContext",
    "CallReply",
    "CallRequest",
    "CallScope",
    "ContextStore",
    "Header",
    "Outcome",
    "OverloadSignal",
    "Priority",
    "Refusal",
    "create_context_store",
    "find_header",
    "hash_priority_bucket",
]
