"""Tests of the route table."""

import attrs
import pytest

from coltsfootspar.exceptions import FrameError
from coltsfootspar.routes import (
    Repetition,
    Route,
    RouteTable,
    Service,
    Target,
    check_routes,
    create_route_matcher,
    decode_routes,
    encode_routes,
)

ROUTE = Route(
    name="views",
    host="diary.example",
    prefix="/views/",
    targets=(Target("wallet"),),
    repetition=Repetition.IDEMPOTENT,
    timeout=1.0,
    target_latency=0.5,
    attempts=2,
    rank=2,
)
TABLE = RouteTable(3, 1, (ROUTE,), (Service("wallet", 100),), source="{}")


def evolve(**changes):
    return attrs.evolve(TABLE, routes=(attrs.evolve(ROUTE, **changes),))


@pytest.mark.parametrize(
    "table",
    [
        evolve(prefix="views/"),
        evolve(prefix="/views"),
        evolve(timeout=0.0),
        evolve(timeout=float("nan")),
        evolve(targets=(Target("wallet", -1),)),
        evolve(targets=(Target("none"),)),
        evolve(targets=()),
        evolve(attempts=0),
        attrs.evolve(TABLE, routes=(ROUTE, ROUTE)),
        attrs.evolve(TABLE, version=1),
    ],
)
def test_finds_fault(table):
    """Guards against an invalid table that is taken into force."""
    assert len(check_routes(table)) == 1


def test_accepts_valid_table():
    """Guards against a valid table that is refused."""
    assert check_routes(TABLE) == []


def test_round_trip():
    """Guards against a field that is lost between replicas and nodes."""
    assert decode_routes(encode_routes(TABLE)) == TABLE


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'{"routes": 3}'])
def test_rejects_malformed(data):
    """Guards against a crash on bytes that are no table."""
    with pytest.raises(FrameError):
        decode_routes(data)


def test_longest_prefix_wins():
    """Guards against a request that goes to the service of a shorter prefix."""
    inner = attrs.evolve(ROUTE, name="inner", prefix="/views/old/")
    matcher = create_route_matcher(attrs.evolve(TABLE, routes=(ROUTE, inner)))
    assert matcher.find("diary.example", "/views/old/x/y?z=/views/") is inner
    assert matcher.find("Diary.example:80", "/views/older/x") is ROUTE
    assert matcher.find("diary.example", "/view/x") is None
    assert matcher.find("other.example", "/views/x") is None
