"""What other packages need for traces."""

from typing import Protocol

__all__ = ["Span", "Tracer"]


class Span(Protocol):
    """One timed step of a request; a context manager that ends it.

    :param span_id: W3C span id, 16 hexadecimal digits.
    """

    span_id: str

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        """Attaches a value to the span."""

    def __enter__(self) -> "Span": ...

    def __exit__(self, *exc_info: object) -> None: ...


class Tracer(Protocol):
    """Opens spans."""

    def open_span(self, name: str, trace_id: str, parent_span_id: str) -> Span:
        """Starts a span.

        :param name: name of the step.
        :param trace_id: W3C trace id.
        :param parent_span_id: W3C span id of the parent, empty for none.
        """
