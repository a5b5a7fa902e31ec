"""Which shard keeps a program's counter.

A deployment may have a single service that takes turns; a hash of services alone would then put every
counter in one shard, and one owner would do all the writing.  And a program may take turns at several
services while its budget is one.  So the program's name decides, and the service does not take part: all
turns of a program meet one counter.
"""

from __future__ import annotations

import zlib

SHARD_PREFIX = "budget-"


def shard_of(program: str, count: int) -> str:
    """The shard of a program among `count`; the same on every machine and in every version."""
    return f"{SHARD_PREFIX}{zlib.crc32(program.encode()) % count}"


def shard_names(count: int) -> list[str]:
    """All budget shards."""
    return [f"{SHARD_PREFIX}{number}" for number in range(count)]
