"""Routing: load balancing across nodes, retries and hedging.

The names are imported on first use, so that a program loads only what it needs.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "baseline": ["create_baseline_router"],
        "interfaces": ["Candidate", "Directory", "PeerLink", "Router"],
        "links": ["PeerLinks", "create_peer_links"],
        "listeners": ["PeerServer", "serve_peers"],
        "router": ["create_router"],
    },
)
