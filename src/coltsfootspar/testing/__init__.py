"""Small fakes of links and disks for tests and the bench."""

from coltsfootspar.testing.calls import FakeDirectory, FakeLink, create_refusal
from coltsfootspar.testing.disks import DiskCrashError, FakeDisk, create_disk
from coltsfootspar.testing.links import FakeNetwork, LinkState, create_network

__all__ = [
    "DiskCrashError",
    "FakeDirectory",
    "FakeDisk",
    "FakeLink",
    "FakeNetwork",
    "LinkState",
    "create_disk",
    "create_network",
    "create_refusal",
]
