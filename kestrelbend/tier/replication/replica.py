"""One replica of a shard: messages, ticks and finished writes in; messages, writes and commands out.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014): elections (3.4) with
pre-vote (9.6), log replication (3.5), single-server group changes (4.1, with the correction of 2015: an
owner changes the group only after it has committed an entry of its epoch), compaction (5), confirmed
reads (6.4), ownership transfer (3.10), and writes beside the sending of entries (10.2.1).  An owner is
Raft's leader, an epoch its term, a group its configuration.

Departures, each with its reason:
- The delay before a candidacy follows the voters' order, not chance: the first live one owns.
- An owner that no majority has answered for an election timeout gives up (check-quorum), so that its
  clients look for another one.
- A reply counts for the moment its round began: a process that stood still can't take old replies for
  news.
- Heartbeats are answered without waiting for the disk, so a slow disk costs no contact.  A vote or an
  acknowledged entry always waits.
- An owner whose own disk stalls hands over; one that can't gives up.
- A replica that its own log doesn't name as a voter neither votes nor campaigns, so an emptied disk
  (another identity) takes part in nothing before the group has taken it in.

Invariants: one owner in an epoch; a committed entry is in the log of every later owner; `applied`
entries come once each and in their order, on top of the last `restore`.
"""

from __future__ import annotations

from .disk import DiskGate
from .effects import Effects
from .election import Campaign, campaign_delay, is_up_to_date
from .follower import Following
from .group import Voters, encode_group, next_group
from .handover import Handover, others
from .log import ReplicaLog
from .messages import (
    AppendEntries,
    AppendReply,
    DurableRecord,
    DurableState,
    Entry,
    EntryKind,
    InstallSnapshot,
    ReplicaId,
    ReplicaMessage,
    RequestVote,
    ShardId,
    Snapshot,
    TransferOwnership,
    VoteReply,
)
from .owner import Ownership
from .progress import NEVER
from .timing import Timing


class Replica:
    """The state of one replica; the carrier joins it to the network, the disk and the state machine."""

    def __init__(
        self,
        *,
        shard: ShardId,
        identity: ReplicaId,
        founders: tuple[ReplicaId, ...],
        durable: DurableState,
        timing: Timing,
        now: float,
    ) -> None:
        self.shard = shard
        self.identity = identity
        self.epoch = durable.epoch
        self.last_contact = NEVER
        self._voted_for = durable.voted_for
        self._timing = timing
        self._log = ReplicaLog(durable)
        self._disk = DiskGate()
        self._effects = Effects()
        self._after_write: list[tuple[ReplicaId, ReplicaMessage]] = []
        self._hard_state_changed = False
        self.commit_index = durable.snapshot.index
        self._owner: Ownership | None = None
        self._following: Following | None = None
        self._campaign: Campaign | None = None
        self._handover: Handover | None = None
        self._learners: Voters = ()
        self._target: Voters = ()
        self._next_confirmation = 1
        self._quiet_since = now
        self._now = now
        self._last_tick = now
        if self.commit_index > 0:
            self._effects.restore = durable.snapshot
        if identity in founders and _is_empty(durable):
            self._log.found(founders)

    @property
    def is_owner(self) -> bool:
        return self._owner is not None

    @property
    def owner(self) -> ReplicaId:
        """The owner as far as known, or ""."""
        if self._owner is not None:
            return self.identity
        return self._following.owner if self._following else ""

    @property
    def voters(self) -> Voters:
        return self._log.voters

    @property
    def applied_index(self) -> int:
        """All committed entries are handed out to be applied at once."""
        return self.commit_index

    def in_touch(self, now: float) -> bool:
        """Whether the replica heard from a majority, or from its owner, within the election timeout."""
        if self._owner is not None:
            return self._owner.in_touch(self.voters, now)
        return self._following is not None and now - self.last_contact <= self._timing.election_timeout

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Takes in a message of another replica."""
        if message.shard != self.shard or message.sender == self.identity:
            return
        self._now = now
        if isinstance(message, AppendEntries):
            self._receive_append(message, now)
        elif isinstance(message, AppendReply):
            self._receive_append_reply(message, now)
        elif isinstance(message, RequestVote):
            self._receive_request(message, now)
        elif isinstance(message, VoteReply):
            self._receive_vote(message, now)
        elif isinstance(message, InstallSnapshot):
            self._receive_snapshot(message, now)
        elif isinstance(message, TransferOwnership):
            self._receive_transfer(message, now)

    def tick(self, now: float) -> None:
        """Does what is due by the clock; called about every 20 ms."""
        self._now = now
        stood_still = now - self._last_tick > self._timing.election_timeout
        self._last_tick = now
        if stood_still:
            self._disk.forgive(now)
            self._quiet_since = now
        if self._owner is not None:
            self._tick_owner(now)
        elif self._may_campaign(now):
            self._begin_campaign(trial=True, now=now)

    def written(self, ticket: int, now: float) -> None:
        """The write `ticket` is on the disk, and so are all before it."""
        self._now = now
        self._disk.complete(ticket)
        self._log.end_write(ticket)
        if self._owner is not None:
            self._advance_commit()
        elif self._campaign is not None:
            self._count_own_vote(now)
        elif self._following is not None:
            self._reply(self._following.written())

    def propose(self, command: bytes, now: float) -> int | None:
        """Appends a command; its index, or None where this replica can't take it as the owner."""
        self._now = now
        if self._owner is None or self._handover is not None or not self.in_touch(now):
            return None
        return self._append(EntryKind.COMMAND, command)

    def confirm(self, now: float) -> int | None:
        """A ticket, reported once it is certain that no later owner had committed before this call."""
        self._now = now
        if self._owner is None or not self.in_touch(now):
            return None
        ticket = self._next_confirmation
        self._next_confirmation += 1
        self._owner.confirm(ticket, self.commit_index)
        return ticket

    def set_learners(self, identities: tuple[ReplicaId, ...]) -> None:
        """The replicas that get all entries without a vote, while this one owns."""
        self._learners = tuple(identities)
        self._follow()

    def set_target(self, voters: tuple[ReplicaId, ...]) -> None:
        """The voters wished for, in the order of ownership; moved towards while this one owns."""
        self._target = tuple(voters)
        self._follow()

    def transfer(self, now: float) -> None:
        """Hands the ownership over, where this replica has it; gives up after a while."""
        self._now = now
        self._begin_handover(others(self.voters, self.identity), now)

    def compact(self, index: int, state: bytes) -> None:
        """Takes the state machine's state after the applied entry `index` in place of the entries."""
        if self._log.snapshot.index < index <= self.applied_index:
            self._log.compact(index, state, self._timing.tail_entries)

    def durable_record(self) -> DurableRecord:
        """All that a disk must hold of this replica, in one record."""
        entries = self._log.between(self._log.snapshot.index + 1, self._log.last_index)
        return self._record(tuple(entries), self._log.snapshot)

    def take(self) -> Effects:
        """Drains what is to be done; to be called after each call that may have changed anything."""
        owner = self._owner
        if owner is not None:
            owner.begin_wanted_round(self._now)
            self._effects.sends.extend(owner.messages(self.commit_index, self._now))
        self._begin_write()
        for send in self._after_write:
            self._disk.hold(send)
        self._after_write.clear()
        self._effects.sends.extend(self._disk.release())
        if owner is not None:
            self._effects.confirmed.extend(owner.confirmed(self.voters, self.commit_index))
        effects, self._effects = self._effects, Effects()
        return effects

    # Writes

    def _begin_write(self) -> None:
        if not self._hard_state_changed and not self._log.has_unwritten():
            return
        ticket = self._disk.issue(self._now)
        entries, snapshot = self._log.begin_write(ticket)
        self._hard_state_changed = False
        self._effects.writes.append((ticket, self._record(entries, snapshot)))
        if self._campaign is not None and not self._campaign.trial and not self._campaign.own_ticket:
            self._campaign.own_ticket = ticket

    def _record(self, entries: tuple[Entry, ...], snapshot: Snapshot | None) -> DurableRecord:
        return DurableRecord(self.shard, self.identity, self.epoch, self._voted_for, entries, snapshot)

    # Epochs and elections

    def _enter(self, epoch: int, owner: ReplicaId) -> None:
        """Follows `owner`, or nobody where "", in an epoch not older than the present one."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._voted_for = ""
            self._hard_state_changed = True
        if self._owner is not None:
            self._effects.lost.extend(entry.ticket for entry in self._owner.confirmations)
            self._owner = None
            self._effects.ownership_changed = True
        self._campaign = None
        self._handover = None
        if owner != self.owner:
            self._effects.ownership_changed = True
        self._following = Following(self.shard, self.identity, epoch, owner, self._log) if owner else None

    def _may_campaign(self, now: float) -> bool:
        if self.identity not in self.voters or self._disk.stalled(now, self._timing.disk_stall):
            return False
        delay = campaign_delay(self.identity, self.epoch, self.voters, self._timing)
        return now - self._quiet_since >= delay

    def _begin_campaign(self, trial: bool, now: float) -> None:
        self._quiet_since = now
        self._enter(self.epoch if trial else self.epoch + 1, "")
        self._campaign = Campaign(self.epoch + 1 if trial else self.epoch, trial)
        request = RequestVote(
            self.shard,
            self.identity,
            self._campaign.epoch,
            self._log.last_index,
            self._log.last_epoch,
            trial,
        )
        requests = [(voter, request) for voter in others(self.voters, self.identity)]
        if trial:
            self._campaign.granted.add(self.identity)
            self._effects.sends.extend(requests)
            self._count_votes(now)
        else:
            self._voted_for = self.identity
            self._hard_state_changed = True
            self._after_write.extend(requests)

    def _count_own_vote(self, now: float) -> None:
        campaign = self._campaign
        if campaign.own_ticket and self._disk.completed >= campaign.own_ticket:
            campaign.granted.add(self.identity)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self._campaign.won(self.voters):
            return
        if self._campaign.trial:
            self._begin_campaign(trial=False, now=now)
        else:
            self._begin_ownership(now)

    def _receive_request(self, request: RequestVote, now: float) -> None:
        if request.trial:
            granted = self._grants_trial(request, now)
        else:
            granted = self._grants(request, now)
        epoch = request.epoch if granted else self.epoch
        reply = VoteReply(self.shard, self.identity, epoch, granted, request.trial)
        if granted and not request.trial:
            self._after_write.append((request.sender, reply))
        else:
            self._effects.sends.append((request.sender, reply))

    def _grants_trial(self, request: RequestVote, now: float) -> bool:
        if self._owner is not None or now - self.last_contact < self._timing.sticky:
            return False
        return request.epoch > self.epoch and self._may_vote_for(request)

    def _grants(self, request: RequestVote, now: float) -> bool:
        if request.epoch < self.epoch:
            return False
        if request.epoch > self.epoch:
            self._enter(request.epoch, "")
        if self._voted_for not in ("", request.sender) or not self._may_vote_for(request):
            return False
        if self._voted_for == "":
            self._voted_for = request.sender
            self._hard_state_changed = True
        self._quiet_since = now
        return True

    def _may_vote_for(self, request: RequestVote) -> bool:
        return self.identity in self.voters and is_up_to_date(
            request.last_epoch, request.last_index, self._log.last_epoch, self._log.last_index
        )

    def _receive_vote(self, reply: VoteReply, now: float) -> None:
        if not reply.granted:
            if reply.epoch > self.epoch:
                self._enter(reply.epoch, "")
            return
        campaign = self._campaign
        if campaign is None or reply.epoch != campaign.epoch or reply.trial != campaign.trial:
            return
        campaign.granted.add(reply.sender)
        self._count_votes(now)

    def _receive_transfer(self, message: TransferOwnership, now: float) -> None:
        if message.epoch == self.epoch and self._owner is None and self.identity in self.voters:
            self._begin_campaign(trial=False, now=now)

    # Following

    def _receive_append(self, message: AppendEntries, now: float) -> None:
        if not self._hear(message, now):
            return
        self._reply(self._following.append(message, self.commit_index))
        self._commit_to(min(message.commit_index, self._following.verified_index))

    def _receive_snapshot(self, message: InstallSnapshot, now: float) -> None:
        if not self._hear(message, now):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self._log.install(snapshot, self.commit_index)
            self.commit_index = snapshot.index
            self._effects.restore = snapshot
            self._effects.applied.clear()
        self._reply(self._following.install(snapshot.index, message.round))

    def _hear(self, message: AppendEntries | InstallSnapshot, now: float) -> bool:
        """Whether the sender owns the present epoch; an older owner is told of the newer one."""
        if message.epoch < self.epoch:
            refusal = AppendReply(self.shard, self.identity, self.epoch, False, 0, message.round)
            self._effects.sends.append((message.sender, refusal))
            return False
        assert self._owner is None or message.epoch > self.epoch, "two owners of one epoch"
        if message.epoch > self.epoch or self.owner != message.sender:
            self._enter(message.epoch, message.sender)
        self.last_contact = now
        self._quiet_since = now
        return True

    def _reply(self, reply: AppendReply | None) -> None:
        if reply is not None:
            self._effects.sends.append((self._following.owner, reply))

    def _commit_to(self, index: int) -> None:
        if index > self.commit_index:
            self._effects.applied.extend(self._log.between(self.commit_index + 1, index))
            self.commit_index = index

    # Owning

    def _begin_ownership(self, now: float) -> None:
        self._enter(self.epoch, "")
        self._owner = Ownership(self.shard, self.identity, self.epoch, self._log, self._timing, now)
        self._effects.ownership_changed = True
        self._follow()
        self._owner.begin_round(now)
        self._append(EntryKind.EMPTY, b"")

    def _step_down(self, now: float) -> None:
        self._quiet_since = now
        self._enter(self.epoch, "")

    def _follow(self) -> None:
        if self._owner is not None:
            self._owner.follow((*self.voters, *self._target, *self._learners))

    def _append(self, kind: EntryKind, data: bytes) -> int:
        index = self._log.last_index + 1
        self._log.append(Entry(index, self.epoch, kind, data))
        return index

    def _receive_append_reply(self, reply: AppendReply, now: float) -> None:
        if reply.epoch > self.epoch:
            self._enter(reply.epoch, "")
        elif reply.epoch == self.epoch and self._owner is not None:
            self._owner.replied(reply)
            self._advance_commit()

    def _advance_commit(self) -> None:
        index = self._owner.commit_index(self.voters)
        if index > self.commit_index and self._log.epoch_at(index) == self.epoch:
            self._commit_to(index)
            self._step_group(self._now)

    def _tick_owner(self, now: float) -> None:
        if not self.in_touch(now):
            self._step_down(now)
            return
        if self._disk.stalled(now, self._timing.disk_stall):
            self._begin_handover(others(self.voters, self.identity), now)
        self._continue_handover(now)
        if self._owner is not None:
            self._step_group(now)
            self._owner.begin_due_round(now)

    def _step_group(self, now: float) -> None:
        """Takes the next step towards the target, once the last one and this epoch are committed."""
        owner = self._owner
        if not self._target or self._handover is not None:
            return
        if self.commit_index < max(owner.first_index, self._log.group_index):
            return

        def is_live(identity: ReplicaId) -> bool:
            return owner.is_live(identity, now)

        group = next_group(self.voters, self._target, self.identity, is_live, owner.is_caught_up)
        if group is not None:
            self._append(EntryKind.GROUP, encode_group(group))
            self._follow()
        elif self.identity not in self._target and set(self._target) < set(self.voters):
            self._begin_handover(self._target, now)

    def _begin_handover(self, candidates: Voters, now: float) -> None:
        if self._owner is not None and self._handover is None and candidates:
            self._handover = Handover(now, candidates)

    def _continue_handover(self, now: float) -> None:
        handover = self._handover
        if handover is None:
            return
        if now - handover.began_at > self._timing.transfer_timeout:
            self._end_handover(now)
            return
        receiver = handover.receiver(self._owner, now)
        if receiver is None or now - handover.asked_at < self._timing.reply_timeout:
            return
        if self._owner.followers[receiver].match_index == self._log.last_index:
            handover.asked_at = now
            message = TransferOwnership(self.shard, self.identity, self.epoch)
            self._effects.sends.append((receiver, message))

    def _end_handover(self, now: float) -> None:
        """Owns on where nobody took over, but for one whose disk stands still."""
        self._handover = None
        if self._disk.stalled(now, self._timing.disk_stall):
            self._step_down(now)


def _is_empty(durable: DurableState) -> bool:
    return durable == DurableState()
