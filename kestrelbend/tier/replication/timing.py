"""The spans of time that a replica goes by, and its bounds on sizes."""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Spans in seconds; all replicas of a shard hold the same.

    `sticky` is below `election_timeout`, so that voters no longer hold on to an owner when the first
    of them campaigns.
    """

    heartbeat: float = 0.1
    election_timeout: float = 0.45
    rank_step: float = 0.12
    jitter: float = 0.03
    sticky: float = 0.35
    reply_timeout: float = 0.3
    snapshot_retry: float = 1.0
    disk_stall: float = 0.8
    transfer_timeout: float = 1.0
    append_bytes: int = 512 * 1024
    window_bytes: int = 4 * 1024 * 1024
    catchup_entries: int = 64
    tail_entries: int = 500
