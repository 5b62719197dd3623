"""Make the C library return the memory of large blocks when they are freed."""

import ctypes
import functools
import sys

M_MMAP_THRESHOLD = -3
"""Parameter of mallopt in the GNU C library."""

LARGE_BLOCK_BYTES = 128 * 1024
"""Size from which a block has pages of its own; the initial value of the library.

Unless it is set, the library raises it up to 32 MiB when such blocks are freed. Bodies
that grow then leave holes: 90 MB of them took 160 MB.
"""


@functools.cache
def return_large_blocks() -> bool:
    """Fix the size from which freed blocks are returned; return whether it is fixed."""
    if not sys.platform.startswith("linux"):
        return False
    try:
        return bool(
            ctypes.CDLL(None).mallopt(
                ctypes.c_int(M_MMAP_THRESHOLD), ctypes.c_int(LARGE_BLOCK_BYTES)
            )
        )
    except (AttributeError, OSError):
        # Another C library, which has no such parameter.
        return False
