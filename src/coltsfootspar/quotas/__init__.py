"""Rates of organisations, enforced over all nodes by tokens that lapse.

The leader of the replicas keeps a :class:`Ledger`, each replica is the
:class:`Lender` of its data centre, and each node a :class:`Spender`. None of them
knows the network: they take and return messages. See docs/design/quotas.md.
"""

from coltsfootspar.quotas.clocks import Clock, create_boot_clock
from coltsfootspar.quotas.ledger import Ledger
from coltsfootspar.quotas.lending import Lender, TokenLoan
from coltsfootspar.quotas.limits import (
    Limit,
    QuotaRules,
    compute_organisation_id,
    create_limits,
    create_quota_rules,
)
from coltsfootspar.quotas.messages import (
    Grant,
    RefillReply,
    RefillRequest,
    TokenAsk,
    TokenReply,
    TokenRequest,
)
from coltsfootspar.quotas.outage import OutageShare
from coltsfootspar.quotas.spending import Spender, Ticket

__all__ = [
    "Clock",
    "Grant",
    "Ledger",
    "Lender",
    "Limit",
    "OutageShare",
    "QuotaRules",
    "RefillReply",
    "RefillRequest",
    "Spender",
    "Ticket",
    "TokenAsk",
    "TokenLoan",
    "TokenReply",
    "TokenRequest",
    "compute_organisation_id",
    "create_boot_clock",
    "create_limits",
    "create_quota_rules",
]
