"""Tests of organisations and their keys in the route table."""

import attrs
import orjson
import pytest

from coltsfootspar.routes import (
    Organisation,
    Repetition,
    Route,
    RouteTable,
    Service,
    Target,
    check_routes,
    create_key_index,
    decode_routes,
    encode_routes,
)

MOVERS = Organisation("movers", ("key-1", "key-2"), rank=1, rate=20.0, burst=5.0)
CREWS = Organisation("crews", ("key-3",))
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
    needs_key=False,
)
TABLE = RouteTable(
    3,
    1,
    (ROUTE,),
    (Service("wallet", 100),),
    source='{"keys": ["key-1"]}',
    organisations=(MOVERS, CREWS),
)


def replace_movers(**changes):
    return attrs.evolve(TABLE, organisations=(attrs.evolve(MOVERS, **changes), CREWS))


@pytest.mark.parametrize(
    "table",
    [
        replace_movers(keys=("key-1", "key-3")),
        replace_movers(name="crews"),
        replace_movers(name=""),
        replace_movers(name="a\r\nb"),
        replace_movers(keys=("",)),
        replace_movers(keys=("key\n1",)),
        replace_movers(keys=(" key-1",)),
        replace_movers(rate=-1.0),
        replace_movers(burst=-1.0),
        replace_movers(rate=float("nan")),
        replace_movers(burst=float("inf")),
    ],
)
def test_finds_fault_and_names_no_key(table):
    """Guards against organisations that can't be told apart, and keys in the logs."""
    problems = check_routes(table)
    assert len(problems) == 1
    assert "key-" not in problems[0]


@pytest.mark.parametrize(
    "table", [TABLE, replace_movers(keys=()), replace_movers(keys=("k", "k"))]
)
def test_accepts_valid_organisations(table):
    """Guards against a valid change that operators can't make."""
    assert check_routes(table) == []


def test_round_trip():
    """Guards against a field that is lost between replicas and nodes."""
    assert decode_routes(encode_routes(TABLE)) == TABLE


def test_table_of_an_earlier_version_is_read():
    """Guards against saved routes that nobody can read after an upgrade."""
    content = orjson.loads(encode_routes(TABLE))
    del content["organisations"]
    del content["routes"][0]["needs_key"]
    table = decode_routes(orjson.dumps(content))
    assert table.organisations == ()
    assert table.routes[0].needs_key


def test_key_identifies_its_organisation():
    """Guards against a key that is not found or that identifies another holder."""
    index = create_key_index(TABLE)
    assert index.find(b"key-1") == index.find(b"key-2") == MOVERS
    assert index.find(b"key-3") == CREWS
    for key in (b"", b"key-", b"key-11", b"KEY-1", b"\xff"):
        assert index.find(key) is None


def test_cost_of_a_look_up_does_not_grow(monkeypatch):
    """Guards against a look-up that compares a key with those of all organisations."""
    compared = []

    def compare(known, key):
        compared.append(key)
        return known == key

    monkeypatch.setattr("hmac.compare_digest", compare)
    organisations = tuple(
        Organisation(f"o{number}", (f"key-{number}",)) for number in range(2_000)
    )
    index = create_key_index(RouteTable(organisations=organisations))
    for number in range(2_000):
        assert index.find(b"key-%d" % number) is organisations[number]
        assert index.find(b"other-%d" % number) is None
    assert len(compared) == 2_000


def test_representations_show_no_key():
    """Guards against keys in logs and exceptions that show a table."""
    for shown in (TABLE, MOVERS, create_key_index(TABLE)):
        assert "key-" not in repr(shown)
