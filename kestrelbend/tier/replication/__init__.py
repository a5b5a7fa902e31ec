"""Replication of a shard by Raft.  Except for the host, no module here uses sockets, clocks or files.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014): leader election (3.4) with
pre-vote (9.6), log replication (3.5), single-server membership changes (4.1, with the correction of 2015: a
leader changes the group only after it has committed an entry of its term), log compaction (5), read index
(6.4), leadership transfer (3.10), and disk writes in parallel with replication (10.2.1).  A group here is
what Raft calls a configuration: the ordered voters of a shard.

The roles of a replica and the transitions between them:

                 no leader for campaign_delay         votes of a majority,
                 and a majority of pre-votes,         its own durable
                 or TransferLeadership
       +----------+ ------------------> +-----------+ ------------------> +--------+
       | follower |                     | candidate |                     | leader |
       +----------+ <------------------ +-----------+                     +--------+
            ^       a leader of its term      |                               |
            |       or a newer term           +--> again, in the next term    |
            |                                                                 |
            +-----------------------------------------------------------------+
              a newer term; no contact with a majority for an election timeout;
              the process was paused; its disk is stalled and no voter takes
              over the leadership

A learner is a follower that is not in the group: it receives all entries, has no vote and never campaigns.

Modules: `replica` is the interface to the host; `roles` holds the transitions above; `election`, `follower`
and `leader` implement one role each; `entry_sender` and `progress` are the leader's view of its followers;
`placement`, `group` and `leadership_transfer` change the group; `read_index` confirms reads;
`snapshot_transfer` sends and receives snapshots; `state`, `log`, `disk` and `durable` hold the stored state.
`host`, `hosted` and `replica_disk` connect the replicas of a process to its disk and state machines.

Deviations from the thesis, each with its reason:
- The delay before a campaign follows the order of the voters instead of being random: the first live voter
  becomes the leader.  A voter that has granted a pre-vote delays its own pre-vote once, to avoid split votes.
- A leader whose messages no majority has acknowledged for an election timeout steps down (check-quorum), so
  that its clients look for another leader.
- A reply counts from the time its heartbeat round began: after a pause of the process, replies that waited
  in its sockets prove nothing, and the replica gives up its leadership or candidacy at the next call.
- Heartbeats are answered without waiting for the disk, so that a slow disk doesn't cost the contact.  A vote
  or an acknowledgement of entries always waits for the disk.
- A candidacy stays open during a new pre-vote, so that votes delayed by slow disks still count.
- A leader whose own disk stalls transfers the leadership, or steps down where the transfer fails.
- A snapshot is sent in chunks that are acknowledged before they are written; the complete snapshot counts
  once it is durable.  A new leader continues the transfer where the digest shows that the bytes are the same.
- A snapshot that a replica takes itself is written only with the journal's next checkpoint: until then the
  disk holds an older snapshot and all entries since.
- While a large append is in flight, heartbeats refer to the last acknowledged entry, as they may arrive
  before the append does.
- A removed voter receives the entry that removes it only once that entry is committed, and for a grace period
  after that, so that it neither blocks elections nor continues to request votes.
- A read at a follower waits for the leader's next heartbeat round instead of starting one: it costs a request
  and a reply, and the reply counts from the time of the request (see `read_index`).
- A replica that its own log doesn't name as a voter never campaigns.  A replica whose disk was erased gets
  another identity, so that its vote counts only after a group has added it.
"""

from .durable import apply_record, replay
from .effects import Effects
from .replica import Replica
from .timing import Timing

__all__ = ["Effects", "Replica", "Timing", "apply_record", "replay"]
