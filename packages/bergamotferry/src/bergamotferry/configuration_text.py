"""Compresses the text of a configuration for the log, the disk and other hosts.

A configuration can have thousands of routes, and a fleet many small hosts. The text is
mostly repeated names and compresses to a tenth of its size or less. Uncompressed, 300
KB of it would occupy a host's link of a few megabits a second for a second, and each
cross-region link once for every host behind that link. Control traffic could not get
through meanwhile.
"""

import zlib

# Higher levels save little more space for several times the CPU time.
COMPRESSION_LEVEL = 6
# First byte of a zlib stream; no text of a configuration begins with it.
ZLIB_FIRST_BYTE = 0x78


def compress_text(text: bytes) -> bytes:
    """Return the text of a configuration, compressed."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def decompress_text(compressed: bytes) -> bytes:
    """Return the decompressed text of a configuration.

    Uncompressed text is returned unchanged, since logs written by earlier versions hold
    it.

    Raises
    ------
    ValueError
        If the compressed bytes are damaged.
    """
    if not compressed or compressed[0] != ZLIB_FIRST_BYTE:
        return compressed
    try:
        return zlib.decompress(compressed)
    except zlib.error as error:
        raise ValueError(f"the compressed configuration is damaged: {error}") from error
