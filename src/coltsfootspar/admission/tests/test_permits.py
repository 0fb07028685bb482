"""Property tests: permits stay within the limit and every caller gets a result."""

import attrs
import trio
from hypothesis import example, given, settings, strategies as st

from coltsfootspar.admission import create_admission_controller
from coltsfootspar.calls import CallContext, CallRequest, Priority
from coltsfootspar.exceptions import RefusedError
from coltsfootspar.table import parse_row_key
from coltsfootspar.table.rows import create_row

SETTINGS = settings(derandomize=True, max_examples=150, deadline=None)
ROWS = [create_row(parse_row_key(f"s GET /{n}"), weight=n + 1) for n in range(3)]

CALLS = st.builds(
    dict,
    kind=st.just("call"),
    row=st.integers(0, 2),
    importance=st.integers(0, 9),
    depth=st.integers(0, 1),
    deadline=st.floats(0.01, 2.0),
    seconds=st.sampled_from([0.0, 0.01, 0.05, 1.0]),
    patience=st.sampled_from([0.0, 0.02, 5.0]),
    succeeded=st.booleans(),
)
SLOTS = st.builds(
    dict, kind=st.just("slots"), slots=st.integers(0, 6), cold=st.floats(0.0, 1.0)
)
PAUSES = st.builds(dict, kind=st.just("pause"), seconds=st.floats(0.001, 0.2))
STEPS = st.lists(CALLS | CALLS | CALLS | SLOTS | PAUSES, max_size=60)


@attrs.define
class History:
    controller: object
    started: int = 0
    ended: int = 0
    in_use: int = 0

    async def call(self, step):
        self.started += 1
        now = trio.current_time()
        row = ROWS[step["row"]]
        context = CallContext(
            "a" * 32,
            "",
            now + step["deadline"],
            Priority(step["importance"], self.started % 128),
            0,
            step["depth"],
        )
        request = CallRequest("s", "GET", "/", (), b"", context)
        try:
            with trio.move_on_after(min(step["patience"], step["deadline"])):
                permit = await self.controller.acquire(request, row)
                self.in_use += 1
                # A lower limit applies to new calls only.
                assert self.in_use <= max(self.controller.limit, self.max_slots)
                try:
                    await trio.sleep(step["seconds"])
                finally:
                    self.in_use -= 1
                    permit.release(step["seconds"], succeeded=step["succeeded"])
        except RefusedError:
            pass
        finally:
            self.ended += 1

    max_slots: int = 0


async def run_history(steps, slots):
    controller = create_admission_controller(service="s", slots=slots)
    history = History(controller, max_slots=slots)
    async with trio.open_nursery() as nursery:
        for step in steps:
            match step["kind"]:
                case "call":
                    nursery.start_soon(history.call, step)
                case "slots":
                    history.max_slots = max(history.in_use, step["slots"])
                    controller.update_slots(step["slots"], step["cold"])
                    # The calls that got a slot have to count themselves, too.
                    await trio.testing.wait_all_tasks_blocked()
                case "pause":
                    await trio.sleep(step["seconds"])
                    if history.in_use <= controller.limit:
                        history.max_slots = controller.limit
            assert controller.in_use == history.in_use
    assert history.ended == history.started
    assert controller.in_use == controller.waiting == 0


def create_call_step(seconds: float) -> dict:
    return {
        "kind": "call",
        "row": 0,
        "importance": 0,
        "depth": 0,
        "deadline": 1.0,
        "seconds": seconds,
        "patience": 5.0,
        "succeeded": False,
    }


# A slot that is added goes to a waiting call, whose task has not run yet.
STEPS_WITH_ADDED_SLOT = [
    create_call_step(0.0),
    create_call_step(1.0),
    create_call_step(1.0),
    {"kind": "slots", "slots": 1, "cold": 0.0},
    {"kind": "pause", "seconds": 0.1875},
    {"kind": "slots", "slots": 2, "cold": 0.0},
]


@SETTINGS
@example(STEPS_WITH_ADDED_SLOT, 0)
@given(STEPS, st.integers(0, 4))
def test_permits_stay_within_the_limit_and_every_caller_ends(steps, slots):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run_history, steps, slots, clock=clock)
