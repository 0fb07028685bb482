"""Rate budget of the datagrams that a node sends."""

import attrs
import trio

__all__ = ["RateBudget"]

# Keeps rounding errors from turning a wait into a busy loop, seconds.
_SHORTEST_WAIT = 0.001


@attrs.define(eq=False)
class RateBudget:
    """Token bucket in bytes.

    In each second at most ``rate + burst`` bytes pass, apart from those that
    :meth:`charge` lets through.

    :param rate: bytes a second.
    :param burst: bytes that may be sent at once.
    """

    rate: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _updated_at: float = attrs.field(factory=trio.current_time)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def try_take(self, size: int, reserve: float = 0.0) -> bool:
        """Takes tokens when there are enough.

        :param size: bytes.
        :param reserve: bytes that must remain for traffic of higher priority.
        """
        self._refill()
        if self._tokens < size + reserve:
            return False
        self._tokens -= size
        return True

    def charge(self, size: int) -> None:
        """Takes tokens for traffic that must not wait; the rest waits longer."""
        self._refill()
        self._tokens -= size

    async def wait_take(self, size: int, reserve: float = 0.0) -> None:
        """Takes tokens as soon as there are enough.

        :param size: bytes.
        :param reserve: bytes that must remain; size and reserve together must
            not exceed the burst.
        """
        while True:
            if self.try_take(size, reserve):
                return
            missing = size + reserve - self._tokens
            await trio.sleep(max(_SHORTEST_WAIT, missing / self.rate))

    def _refill(self) -> None:
        now = trio.current_time()
        gained = (now - self._updated_at) * self.rate
        self._tokens = min(self.burst, self._tokens + gained)
        self._updated_at = now
