"""Imports at the start of a daemon."""

import ctypes.util
import gc
import importlib

__all__ = ["prepare_imports"]


def prepare_imports() -> None:
    """Makes the imports of a daemon cheaper, and imports trio.

    Imports leave no garbage, so collections of it are off until the daemon runs;
    :func:`coltsfootspar.programs.run_daemon` turns them on again. trio starts a
    process to look up the threading library, only to name its worker threads; it is
    imported without the lookup.
    """
    gc.disable()
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        importlib.import_module("trio")
    finally:
        ctypes.util.find_library = find_library
