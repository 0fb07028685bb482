"""Small fakes of links and disks for tests and the bench."""

from coltsfootspar.testing.links import FakeNetwork, LinkState, create_network

__all__ = ["FakeNetwork", "LinkState", "create_network"]
