"""Routes: which service answers a host and path, and under which terms."""

from coltsfootspar.routes.checks import check_routes
from coltsfootspar.routes.codec import decode_routes, encode_routes
from coltsfootspar.routes.keys import KeyIndex, create_key_index
from coltsfootspar.routes.matching import RouteMatcher, create_route_matcher
from coltsfootspar.routes.model import (
    ClientLimits,
    Organisation,
    Repetition,
    Route,
    RouteTable,
    Service,
    Target,
)

__all__ = [
    "ClientLimits",
    "KeyIndex",
    "Organisation",
    "Repetition",
    "Route",
    "RouteMatcher",
    "RouteTable",
    "Service",
    "Target",
    "check_routes",
    "create_key_index",
    "create_route_matcher",
    "decode_routes",
    "encode_routes",
]
