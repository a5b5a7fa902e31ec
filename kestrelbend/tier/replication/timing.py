"""The spans of time that a replica goes by, and its bounds on sizes.

Invariant: `heartbeat` < `leader_stickiness` < `election_timeout` (Ongaro 2014, sections 3.4, 4.2.3, 6.2):
a leader in contact neither gives up nor is voted out.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Spans in seconds and sizes in bytes; all replicas of a shard hold the same.

    `leader_stickiness` is below `election_timeout` by more than a heartbeat, so that voters no longer hold on
    to a leader when the first of them campaigns.
    """

    heartbeat: float = 0.1  # between two rounds of the leader
    election_timeout: float = 0.45  # without contact, until the first voter campaigns or a leader gives up
    first_pre_vote: float = 0.1  # from the start of a process until its first pre-vote: it heard nobody yet
    rank_step: float = 0.12  # later for each place in the group
    jitter: float = 0.03  # at most, so that no two voters campaign at one moment for ever
    leader_stickiness: float = 0.3  # a voter that heard a leader this recently refuses a pre-vote
    pre_vote_interval: float = 0.15  # between two pre-votes of one candidate
    pre_vote_backoff: float = 0.25  # that a voter which granted a pre-vote holds back its own, once
    reply_timeout: float = 0.3  # without a reply, until the leader sends heartbeats alone
    read_index_interval: float = 0.2  # between two questions of a follower that watches its freshness
    snapshot_retry: float = 1.0  # until a first chunk of a snapshot counts as lost
    disk_stall: float = 0.8  # that a write may take before the disk counts as stalled
    transfer_timeout: float = 1.0  # that a leadership transfer may take
    departure_grace: float = 2.0  # that a replica which left the group still gets entries, to learn of it
    append_bytes: int = 256 * 1024  # in one AppendEntries, unless one entry is larger
    window_bytes: int = 256 * 1024  # under way to one follower, unless one entry is larger
    overtaken_bytes: int = 16 * 1024  # of an AppendEntries, from which on smaller messages may overtake it
    overtaken_rate: int = 512 * 1024  # bytes a second, below which such a message counts as lost
    chunk_bytes: int = 64 * 1024  # of a snapshot, in one message
    snapshot_window: int = 128 * 1024  # of a snapshot, under way to one follower
    tail_entries: int = 500  # kept before a snapshot for followers that lag
    tail_bytes: int = 4 * 1024 * 1024  # the same by their data
    retention: float = 10.0  # since its last reply, for which a follower's entries are kept beyond the tail
    retained_bytes: int = 64 * 1024 * 1024  # of entries kept for a follower to which a snapshot is under way
