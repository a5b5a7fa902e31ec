"""Reads of bounded size from sockets: asyncio itself reads up to 256 KiB from each that is readable."""

from __future__ import annotations

import asyncio

READ_BYTES = 16 * 1024
_scratch = bytearray(READ_BYTES)


class BoundedReads(asyncio.BufferedProtocol):
    """Mixed into a protocol, limits a read to `READ_BYTES`; one buffer serves all connections."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """The buffer for the next read."""
        return _scratch

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what has been read."""
        self.data_received(bytes(memoryview(_scratch)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Takes received bytes."""
        raise NotImplementedError
