"""The context must survive a backend server that passes on only traceparent."""

from hypothesis import given, settings, strategies as st

from coltsfootspar.calls import CallContext, Priority, create_context_store

SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)


def create_context(allowance=4, span="b" * 16, deadline=10.0):
    return CallContext("a" * 32, span, deadline, Priority(5, 1), allowance)


def test_finds_the_call_that_the_parent_span_names():
    store = create_context_store()
    store.add(create_context(span="1" * 16))
    entry = store.add(create_context(span="2" * 16))
    store.add(create_context(span="3" * 16))
    assert store.find("a" * 32, "2" * 16) is entry


def test_forgets_calls_past_their_deadline():
    store = create_context_store()
    store.add(create_context(deadline=1.0))
    store.add(create_context(deadline=3.0))
    assert store.drop_expired(now=2.0) == 1
    assert len(store) == 1


@SETTINGS
@given(st.integers(0, 20), st.lists(st.integers(0, 3), max_size=12))
def test_parallel_calls_never_draw_more_than_the_allowance(allowance, spends):
    """Guards against an allowance that grows when calls run side by side."""
    store = create_context_store()
    entry = store.add(create_context(allowance=allowance))
    shares = [store.draw_allowance(entry) for _ in spends]
    spent = 0
    for share, spend in zip(shares, spends, strict=True):
        used = min(share, spend)
        spent += used
        store.return_allowance(entry, share - used)
    assert store.remove(entry) == allowance - spent
