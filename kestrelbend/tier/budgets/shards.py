"""Maps a program to the shard that holds its counter, by the program's name alone.

The service is not part of the key, for two reasons.  A deployment may have a single service, and hashing
services would put every counter into one shard, whose owner would do all the writing.  A program may also
use several services under one budget, so all its turns have to reach the same counter.
"""

from __future__ import annotations

import zlib

SHARD_PREFIX = "budget-"


def shard_of(program: str, count: int) -> str:
    """Returns the shard of a program among `count` shards; the same on every machine and in every version."""
    return f"{SHARD_PREFIX}{zlib.crc32(program.encode()) % count}"


def shard_names(count: int) -> list[str]:
    """Returns the names of all budget shards."""
    return [f"{SHARD_PREFIX}{number}" for number in range(count)]
