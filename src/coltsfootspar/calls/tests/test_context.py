"""Guards against a context lost in a backend server that forwards only traceparent."""

from hypothesis import given, settings, strategies as st

from coltsfootspar.calls import CallContext, Priority, create_context_store

SETTINGS = settings(derandomize=True, max_examples=200, deadline=None)


def create_context(allowance=4, span="b" * 16, deadline=10.0):
    return CallContext("a" * 32, span, deadline, Priority(5, 1), allowance)


def test_context_is_found_by_the_parent_span():
    store = create_context_store()
    store.add(create_context(span="1" * 16))
    scope = store.add(create_context(span="2" * 16))
    store.add(create_context(span="3" * 16))
    assert store.find("a" * 32, "2" * 16) is scope


def test_expired_calls_are_dropped():
    store = create_context_store()
    store.add(create_context(deadline=1.0))
    store.add(create_context(deadline=3.0))
    assert store.drop_expired(now=2.0) == 1
    assert len(store) == 1


@SETTINGS
@given(st.integers(0, 20), st.lists(st.integers(0, 3), max_size=12))
def test_parallel_calls_never_spend_more_than_the_allowance(allowance, wanted_retries):
    """Guards against more retries than allowed when nested calls run in parallel."""
    store = create_context_store()
    scope = store.add(create_context(allowance=allowance))
    shares = [store.reserve_allowance(scope) for _ in wanted_retries]
    spent = 0
    for share, wanted in zip(shares, wanted_retries, strict=True):
        used = min(share, wanted)
        spent += used
        store.return_allowance(scope, share - used)
    assert store.remove(scope) == allowance - spent
