"""A small scenario that tests change as they need."""

import attrs
import pytest

from coltsfootspar.bench import parse_scenario

SMALL = """
{
  "name": "small",
  "description": "Two services in two data centres",
  "data_centres": ["dc-1", "dc-2"],
  "services": {
    "front": {"upstreams": 2, "slots": 4, "connections": 40},
    "store": {"upstreams": 3, "slots": 3, "connections": 30}
  },
  "delays": {"between_ms": 4, "jitter_ms": 1, "loss": 0.01},
  "rows": {
    "front GET /views/{id}": {
      "share": 0.5, "importance": 3, "time": {"mean_ms": 30},
      "calls": [["store GET /items/{id}", "store GET /prices/{id}"]]
    },
    "front POST /payments": {
      "share": 0.2, "importance": 9, "execution": "once", "retries": 2,
      "time": {"mean_ms": 30}, "calls": [["store POST /entries"]]
    },
    "store GET /items/{id}": {
      "share": 0.3, "importance": 5, "time": {"mean_ms": 60}
    },
    "store GET /prices/{id}": {"importance": 5, "time": {"mean_ms": 40}},
    "store POST /entries": {
      "importance": 9, "execution": "once", "time": {"mean_ms": 60}
    }
  },
  "load": [{"at_s": 0, "load": 0.6}, {"at_s": 1, "load": 2.5}],
  "duration_s": 3,
  "measure": {"from_s": 1, "to_s": 3},
  "clients": {"max_attempts": 3, "timeout_ms": 600, "backoff_ms": 50}
}
"""


@pytest.fixture
def create_small():
    """Returns a function that creates the small scenario with changed fields."""

    def create(**changes):
        return attrs.evolve(parse_scenario(SMALL), **changes)

    return create
