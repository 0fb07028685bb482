"""The shipped scenarios must meet the bounds of the design page.

The bounds are those of section 1.5. What misses one runs as a strict expected
failure that names its entry in KNOWN-RED.txt.
"""

import functools

import pytest

from coltsfootspar.bench import INVARIANTS, PolicyName, load_scenario, measure_policy

LEAST = {
    "goodput_ratio": {"overload-2x": 0.95, "overload-10x": 0.90, "kikapu": 0.95},
    "crest_goodput_ratio": dict.fromkeys(
        ("overload-2x", "overload-10x", "kikapu", "swing"), 0.90
    ),
}
MOST = {
    "recovery_seconds": dict.fromkeys(
        ("overload-2x", "overload-10x", "kikapu", "swing", "recovery", "chain-11"), 2
    ),
    "short_row_p99_ratio": dict.fromkeys(("long-work", "kikapu", "association"), 2),
    "slowed_tail_ratio": dict.fromkeys(("slowed-servers", "association"), 2),
    # Requests whose leaf fails waste their work whatever is done: chain-11.
    "wasted_work_ratio": dict.fromkeys(
        (
            "overload-2x",
            "overload-10x",
            "kikapu",
            "swing",
            "recovery",
            "association",
            "long-work",
            "slowed-servers",
        ),
        0.05,
    ),
}
SCENARIOS = (
    "association",
    "chain-11",
    "kikapu",
    "long-work",
    "overload-10x",
    "overload-2x",
    "recovery",
    "slowed-servers",
    "swing",
)
# Names of entries in KNOWN-RED.txt by scenario and measure.
KNOWN_RED = {
    ("overload-2x", "goodput_ratio"): "overload-2x-goodput",
    ("recovery", "recovery_seconds"): "recovery-seconds",
    ("recovery", "wasted_work_ratio"): "recovery-wasted",
    ("kikapu", "wasted_work_ratio"): "kikapu-wasted",
}


@functools.cache
def measure(name):
    scenario = load_scenario(f"benchmarks/scenarios/{name}.jsonc")
    report, _ = measure_policy(scenario, PolicyName.COLTSFOOTSPAR)
    return report


def check(name, key):
    """Returns a line when a measure of a scenario misses its bound."""
    if key in INVARIANTS:
        count = measure(name).broken_invariants[key]
        return f"{key}: {count}" if count else None
    value = getattr(measure(name), key)
    if key in LEAST:
        bound = LEAST[key][name]
        return None if value >= bound else f"{key}: {value:.3f} < {bound}"
    bound = MOST[key][name]
    return None if value <= bound else f"{key}: {value:.3f} > {bound}"


def list_keys(name):
    bounds = LEAST | MOST
    return [*INVARIANTS, *(key for key, names in bounds.items() if name in names)]


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_meets_its_bounds(name):
    keys = [key for key in list_keys(name) if (name, key) not in KNOWN_RED]
    missed = [line for key in keys if (line := check(name, key))]
    assert missed == []


@pytest.mark.parametrize(
    ("name", "key"),
    [
        pytest.param(*case, marks=pytest.mark.known_red(entry))
        for case, entry in KNOWN_RED.items()
    ],
)
def test_known_miss(name, key):
    assert check(name, key) is None


@pytest.mark.parametrize(
    ("name", "key", "least"),
    [
        ("chain-11", "max_attempts_per_request", 10),
        ("long-work", "short_row_p99_ratio", 4),
    ],
)
def test_scenario_is_hard_enough_for_the_baseline(name, key, least):
    """A scenario that the baseline passes too would show nothing."""
    scenario = load_scenario(f"benchmarks/scenarios/{name}.jsonc")
    report, _ = measure_policy(scenario, PolicyName.BASELINE)
    assert getattr(report, key) > least
