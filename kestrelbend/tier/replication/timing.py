"""The timeouts and intervals of a replica, and its limits on sizes.

Invariant: `heartbeat` < `leader_stickiness` < `election_timeout` (Ongaro 2014, sections 3.4, 4.2.3, 6.2):
a leader in contact with a majority neither steps down nor is voted out.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Durations in seconds and sizes in bytes; the same for all replicas of a shard.

    `leader_stickiness` is shorter than `election_timeout` by more than a heartbeat interval, so that voters
    grant pre-votes again by the time the first of them campaigns.
    """

    heartbeat: float = 0.1  # between two heartbeat rounds of the leader
    election_timeout: float = 0.45  # without contact, until the first voter campaigns or a leader steps down
    first_pre_vote: float = 0.1  # from a process's start, without any contact, to its first pre-vote
    rank_step: float = 0.12  # additional campaign delay for each place in the group's order
    jitter: float = 0.03  # maximum additional delay, so that two voters don't campaign simultaneously forever
    leader_stickiness: float = 0.3  # a voter that had contact with a leader this recently rejects pre-votes
    pre_vote_interval: float = 0.15  # between two pre-votes of one candidate
    pre_vote_backoff: float = 0.25  # for which a voter that granted a pre-vote delays its own, once
    reply_timeout: float = 0.3  # without a reply, until the leader sends a follower only heartbeats
    read_index_interval: float = 0.2  # between two read index requests of a follower that polls its leader
    snapshot_retry: float = 1.0  # until the first chunk of a snapshot counts as lost
    disk_stall: float = 0.8  # the longest time a write may take before the disk counts as stalled
    transfer_timeout: float = 1.0  # the longest time a leadership transfer may take
    removed_voter_grace: float = 2.0  # for which a removed voter receives entries, to learn of its removal
    append_bytes: int = 256 * 1024  # limit of one AppendEntries, unless a single entry is larger
    window_bytes: int = 256 * 1024  # limit in flight to one follower, unless a single entry is larger
    overtaken_bytes: int = 16 * 1024  # size of an AppendEntries above which smaller messages may overtake it
    overtaken_rate: int = 512 * 1024  # bytes per second; a message slower than this counts as lost
    chunk_bytes: int = 64 * 1024  # of a snapshot in one message
    snapshot_window: int = 128 * 1024  # of a snapshot in flight to one follower
    tail_entries: int = 500  # entries before the snapshot that are kept for lagging followers
    tail_bytes: int = 4 * 1024 * 1024  # limit on the data of these entries
    retention: float = 10.0  # since a follower's last reply, while its entries are kept beyond the tail
    retained_bytes: int = 64 * 1024 * 1024  # limit on entries kept for a follower during a snapshot transfer
