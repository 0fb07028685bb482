"""Data path: forwards requests of callers through nodes to backend servers."""

from coltsfootspar.relay.ahead import AheadLimits
from coltsfootspar.relay.backend import (
    BackendReport,
    BackendServer,
    create_backend_server,
)
from coltsfootspar.relay.calls import Call, HeaderNames, Load, PriorityClass, Reply
from coltsfootspar.relay.capacity import (
    Capacity,
    CapacityEstimator,
    FixedCapacity,
    create_capacity_estimator,
    create_fixed_capacity,
)
from coltsfootspar.relay.crash_notices import (
    CrashNotifier,
    create_crash_notifier,
    create_peer_handler,
)
from coltsfootspar.relay.entry import RoomGate, create_room_gate
from coltsfootspar.relay.exchanges import Exchange
from coltsfootspar.relay.forwarding import Forwarder, RelayCounters
from coltsfootspar.relay.identification import RevocationPolicy
from coltsfootspar.relay.limiter import ConcurrencyLimiter, create_concurrency_limiter
from coltsfootspar.relay.placement import Placement, create_placement
from coltsfootspar.relay.receiving import CallReceiver
from coltsfootspar.relay.retries import RetryBudget, create_retry_budget
from coltsfootspar.relay.server import RelayServer, create_relay_server
from coltsfootspar.relay.splitting import TrafficSplitter

__all__ = [
    "AheadLimits",
    "BackendReport",
    "BackendServer",
    "Call",
    "CallReceiver",
    "Capacity",
    "CapacityEstimator",
    "CrashNotifier",
    "Exchange",
    "FixedCapacity",
    "Forwarder",
    "HeaderNames",
    "PriorityClass",
    "Load",
    "Placement",
    "RelayCounters",
    "RelayServer",
    "RetryBudget",
    "RevocationPolicy",
    "RoomGate",
    "Reply",
    "TrafficSplitter",
    "ConcurrencyLimiter",
    "create_backend_server",
    "create_capacity_estimator",
    "create_crash_notifier",
    "create_fixed_capacity",
    "create_peer_handler",
    "create_placement",
    "create_relay_server",
    "create_retry_budget",
    "create_room_gate",
    "create_concurrency_limiter",
]
