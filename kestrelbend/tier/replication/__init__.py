"""A replicated shard: one leader, a term, a quorum.  Pure, but for the host: no sockets, clocks or files.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014): elections (3.4) with
pre-vote (9.6), log replication (3.5), single-server group changes (4.1, with the correction of 2015: a
leader changes the group only after it has committed an entry of its term), compaction (5), confirmed
reads (6.4), leadership transfer (3.10), and writes beside the sending of entries (10.2.1).  A group is
what Raft calls a configuration.

The roles of a replica, and what takes it from one to another:

                 no leader for campaign_delay         votes of a majority,
                 and a majority of pre-votes,         its own on its disk
                 or TransferLeadership
       +----------+ ------------------> +-----------+ ------------------> +--------+
       | follower |                     | candidate |                     | leader |
       +----------+ <------------------ +-----------+                     +--------+
            ^       a leader of its term      |                               |
            |       or a newer term           +--> again, in the next term    |
            |                                                                 |
            +-----------------------------------------------------------------+
              a newer term; no majority for an election timeout; the process
              stood still; its disk stalls and nobody takes the leadership

A learner is a follower that the group doesn't name: it gets all entries, has no vote and never campaigns.

What belongs together: `replica` is what a carrier sees, `roles` the changes above, `election`, `follower`
and `leader` one role each, `entry_sender` and `progress` the leader's view of its followers, `placement`,
`group` and `leadership_transfer` the steps from one group to another, `read_index` the reads,
`snapshot_transfer` the snapshots on their way; `state`, `log`, `disk` and `durable` what is stored.
`host`, `hosted` and `replica_disk` join the replicas of a process to its disk and state machines.

Departures, each with its reason:
- The delay before a candidacy follows the voters' order, not chance: the first live one leads.  Who has
  granted a pre-vote holds its own back for a moment, once, so that two don't share the votes.
- A leader that no majority has answered for an election timeout gives up (check-quorum), so that its
  clients look for another one.
- A reply counts for the moment its round began: a process that stood still can't take old replies for
  news, and gives up its leadership or candidacy at its next call.
- Heartbeats are answered without waiting for the disk, so a slow disk costs no contact.  A vote or an
  acknowledged entry always waits.
- A candidacy stays open beside a new pre-vote, so that votes delayed by slow disks still count.
- A leader whose own disk stalls hands over; one that can't gives up.
- A snapshot travels in chunks that are acknowledged before they are written; a complete one counts once it
  is on the disk.  The next leader goes on with what the follower has where the digest shows that the bytes
  are the same.
- A replica's own snapshot is written with the journal's next checkpoint only: until then its disk has an
  older one and all entries since.
- While a large append is under way, heartbeats follow the last acknowledged entry: they may overtake it.
- Who leaves the group gets the entry that says so only once it is committed, and for a while after that, so
  that it neither blocks the others' votes nor goes on asking for its own.
- A follower's read waits for the leader's next heartbeat round instead of beginning one: it costs a question
  and an answer, and its answer counts from the question on (see `read_index`).
- A replica that its own log doesn't name as a voter never campaigns.  An emptied disk is another
  identity, so its vote counts for nobody before a group has taken it in.
"""

from .durable import apply_record, replay
from .effects import Effects
from .replica import Replica
from .timing import Timing

__all__ = ["Effects", "Replica", "Timing", "apply_record", "replay"]
