"""Import of trio for daemons, without starting another process."""

import ctypes.util
import importlib

__all__ = ["preload_trio"]


def preload_trio() -> None:
    """Imports trio without looking up the threading library.

    trio uses that library only to name its worker threads, but starts a process to
    look it up, at each start of each daemon.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library
