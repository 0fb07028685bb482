"""Fakes of sockets."""

__all__ = ["NullSocket"]


class NullSocket:
    """A socket that takes all that is sent."""

    def send(self, data: bytes) -> int:
        """Takes data and returns its size."""
        return len(data)

    def shutdown(self, how: int) -> None:
        """Ignores the end of one direction."""
