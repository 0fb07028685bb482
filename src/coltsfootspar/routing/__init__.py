"""Routing: choice of node, retries and hedging."""

from coltsfootspar.routing.interfaces import Candidate, Directory, PeerLink, Router

__all__ = ["Candidate", "Directory", "PeerLink", "Router"]
