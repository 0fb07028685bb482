"""Routing: load balancing across nodes, retries and hedging."""

from coltsfootspar.routing.baseline import create_baseline_router
from coltsfootspar.routing.interfaces import Candidate, Directory, PeerLink, Router
from coltsfootspar.routing.links import PeerLinks, create_peer_links
from coltsfootspar.routing.listeners import PeerServer, serve_peers
from coltsfootspar.routing.router import create_router

__all__ = [
    "Candidate",
    "Directory",
    "PeerLink",
    "PeerLinks",
    "PeerServer",
    "Router",
    "create_baseline_router",
    "create_peer_links",
    "create_router",
    "serve_peers",
]
