"""Routing: choice of node, retries and hedging."""

from coltsfootspar.routing.baseline import create_baseline_router
from coltsfootspar.routing.interfaces import Candidate, Directory, PeerLink, Router
from coltsfootspar.routing.router import create_router

__all__ = [
    "Candidate",
    "Directory",
    "PeerLink",
    "Router",
    "create_baseline_router",
    "create_router",
]
