"""The protocol's core: who is alive, as far as one member can know.

After SWIM (Das, Gupta, Motivala 2002): in each period one member, drawn round robin from a shuffled list, is
pinged; without an answer some others are asked to ping it; then it is suspected, and after a while dead.
News rides on these messages.  With Lifeguard (Dadgar, Phillips, Currey 2018): a member that misses answers
doubts itself first (`doubt`), suspicions wait the shorter the more members have them, and a suspect is told
so by the very ping that asks it.  Departures are in docs/design/membership.md.

Nothing here does I/O or reads a clock: `receive` and `tick` are called with the time in whole microseconds,
`out` fills with (address, Message), `changes` with what became of members.
"""

from __future__ import annotations

import math
from collections import deque

from ..keys import stable_key
from .messages import Kind, Lease, Message, Note, Rumour, State, size

MS, SECOND = 1000, 1_000_000
STRIKES = 2  # unanswered pings before a suspicion
URGENT = {Kind.PING, Kind.ACK, Kind.REQUEST, Kind.NACK, Kind.LEASE}
BUCKETS = 16  # of the view, compared by their sums
WINDOW = 128  # messages that may come out of order
MASK = (1 << 32) - 1
SAID = 32  # most rumours looked at for one datagram
OVERHEAD = 60  # bytes of a message beside its name, rumours, notes and lists


def bucket(name):
    return stable_key(name) % BUCKETS


class Terms:
    """How often and how patient; times in microseconds."""

    def __init__(self, period=300 * MS, helpers=3, most_per_s=40.0, room=244, most_notes=512):
        self.period, self.patience = period, period * 3 // 10  # a ping's, and the wait for its answer
        self.helpers = helpers  # others asked to ping for one
        self.most_per_s = most_per_s  # datagrams sent; never above
        self.room = room  # bytes of a message
        self.most_notes = most_notes  # results kept
        self.most_doubt = 8  # Lifeguard's limit of the local health multiplier
        # In periods, times log10 of members; by how much fewer who have it stretch it.
        self.suspicion, self.suspicion_most = 5.0, 4.0
        self.confirmations = 3
        self.spread = 2.0  # a rumour is sent so often, times log2 of members
        self.sync_every = 2 * SECOND  # digests to one whose view differs, at most
        self.young = 10 * SECOND  # one that began so lately compares more often
        self.reach_every = 4 * SECOND  # a ping to one dead or never heard of
        self.forget = 120 * SECOND  # the dead are known so long, unless listed


class Member:
    """What is known of one."""

    __slots__ = (
        "name",
        "address",
        "life",
        "incarnation",
        "state",
        "since",
        "heard",
        "by",
        "until",
        "seen",
        "mask",
        "sum",
        "strikes",
        "pinged",
        "bucket",
    )

    def __init__(self, name, address, life, incarnation, state, now):
        self.name, self.address, self.life, self.incarnation = name, address, life, incarnation
        self.state, self.since, self.heard = state, now, 0
        self.by, self.until = set(), 0  # a suspicion: who has it, and when it is over
        self.seen, self.mask = 0, 0  # the highest `seq` of its life, and which before it came
        self.sum, self.strikes, self.pinged = 0, 0, 0  # strikes: unanswered pings in a row
        self.bucket = bucket(name)

    def key(self):
        return self.life, self.incarnation, self.state

    def rumour(self, by=""):
        return Rumour(self.name, self.address, self.life, self.incarnation, int(self.state), by)

    def taken(self, seq):
        """Whether a message of its life is new: doubled and replayed ones are not taken again."""
        if seq > self.seen:
            self.mask = (self.mask << min(seq - self.seen, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.seen = seq
            return True
        back = self.seen - seq
        if back >= WINDOW or self.mask >> back & 1:
            return False
        self.mask |= 1 << back
        return True


class Asked:
    """A ping that waits for its answer."""

    __slots__ = (
        "nonce",
        "name",
        "address",
        "since",
        "due",
        "tries",
        "nacks",
        "asked",
        "over",
        "back",
        "back_nonce",
    )

    def __init__(self, nonce, name, address, since, due, over):
        self.nonce, self.name, self.address, self.since = nonce, name, address, since
        self.due, self.over, self.tries, self.nacks, self.asked = due, over, 1, 0, 0
        self.back, self.back_nonce = None, 0  # asked for another one: who, and by which nonce


class Change:
    """A member became alive, dead or left; `before` is None for one not known before."""

    __slots__ = ("member", "state", "before")

    def __init__(self, member, state, before):
        self.member, self.state, self.before = member, state, before


class Swim:
    """`peers` are addresses (six bytes) that are asked until they answer, again and again."""

    def __init__(self, name, address, life, terms, rng, now, peers=()):
        self.name, self.address, self.life, self.terms = name, address, life, terms
        self.random, self.shuffle, self.sample = rng.random, rng.shuffle, rng.sample
        self.now, self.born, self.incarnation, self.doubt = now, now, 0, 0
        self.members, self.order, self.asked, self.turn, self.by_turn = {}, [], {}, 0, False
        self.rumours, self.notes, self.told = {}, {}, {}  # told: times that each was sent
        self.peers = {at for at in peers if at != address}
        self.out, self.changes, self.heard_notes, self.leases = deque(), deque(), deque(), deque()
        self.seq = self.nonce = 0
        self.sums, self.left, self.conflict = [0] * BUCKETS, False, None
        self.level, self.level_at = terms.most_per_s / 2, now  # what may be sent at once
        self.period_at = now + int(self.random() * terms.period)
        self.reach_at, self.synced = now, {}
        self.counts = dict.fromkeys(
            ("sent", "held", "received", "replayed", "stale", "suspected", "died", "refuted", "syncs"), 0
        )
        self.own_sum, self.bucket = 0, bucket(name)
        self.count, self.version = 1, 0  # of those that live, this one with them; of the view
        self.resum()

    # The view.

    def alive(self):
        """Names of the members that serve, this one with them; suspects are not dead yet."""
        live = [m.name for m in self.members.values() if m.state <= State.SUSPECT]
        return live + [self.name] * (not self.left)

    def member_at(self, address):
        return next((m for m in self.members.values() if m.address == address), None)

    @staticmethod
    def sum_of(name, life, incarnation, state):
        """Of those that live: the dead are forgotten at different times, and a suspicion ends by itself."""
        return 0 if state >= State.DEAD else stable_key(f"{name} {life} {incarnation}") & MASK

    def resum(self):
        state = State.LEFT if self.left else State.ALIVE
        fresh = self.sum_of(self.name, self.life, self.incarnation, state)
        self.sums[self.bucket] ^= self.own_sum ^ fresh
        self.own_sum = fresh

    def digest(self):
        whole = 0
        for at, part in enumerate(self.sums):
            whole ^= (part * (2 * at + 1)) & MASK
        return whole

    def set(self, member, state):
        """The one place where a member's state changes."""
        before = None if member.name not in self.members else member.state
        if before is None:
            self.members[member.name] = member
            self.order.insert(int(self.random() * (len(self.order) + 1)), member.name)
        member.state = state
        fresh = self.sum_of(member.name, member.life, member.incarnation, state)
        self.sums[member.bucket] ^= member.sum ^ fresh
        member.sum = fresh
        self.version += 1
        self.count += (state <= State.SUSPECT) - (before is not None and before <= State.SUSPECT)
        if before != state:
            member.since = self.now
            gone, was = state >= State.DEAD, before is None or before >= State.DEAD
            if before is None or gone != was or gone and before != state:
                self.changes.append(Change(member, state, before))
            if state == State.DEAD:
                self.counts["died"] += 1

    def drop(self, member):
        self.sums[member.bucket] ^= member.sum
        self.version += 1
        self.count -= member.state <= State.SUSPECT
        del self.members[member.name]
        self.order.remove(member.name)
        self.rumours.pop(member.name, None)

    # News.

    def spread(self, rumour):
        """To be told on with the next messages; a newer word on the same member takes its place."""
        self.rumours[rumour.name] = rumour
        self.told[rumour.name] = 0

    def hear(self, rumour, tell=True):
        """A rumour: true where it was news.  `tell`: on to others, too; what comes of comparing views is
        known to many, and a fleet that starts at once would drown in it."""
        if rumour.name == self.name:
            return self.hear_of_self(rumour)
        state, member = State(rumour.state), self.members.get(rumour.name)
        if member is None:
            if state >= State.DEAD:
                return False  # forgotten or never known: nothing to tell on
            member = Member(rumour.name, rumour.address, rumour.life, rumour.incarnation, state, self.now)
            self.set(member, state)
        elif (rumour.life, rumour.incarnation, state) > member.key():
            if rumour.life > member.life:  # a new process under its name
                member.seen = member.mask = 0
            member.address, member.life, member.incarnation = rumour.address, rumour.life, rumour.incarnation
            member.by.clear()
            self.set(member, state)
        elif (
            state == State.SUSPECT
            and (rumour.life, rumour.incarnation) == member.key()[:2]
            and member.state == State.SUSPECT
            and rumour.by
            and rumour.by not in member.by
            and len(member.by) <= self.terms.confirmations
        ):
            member.by.add(rumour.by)  # another one has the same suspicion: told on, too
            member.until = member.since + self.suspicion(len(member.by) - 1)
            self.spread(rumour)
            return True
        else:
            return False
        if state == State.SUSPECT:
            member.by = {rumour.by}
            member.until = self.now + self.suspicion(0)
        if tell or state != State.ALIVE:
            self.spread(rumour)
        return True

    def hear_of_self(self, rumour):
        """What others believe of this one: a suspicion is refuted, another life under its name is a
        conflict unless it is over."""
        if rumour.life == self.life and rumour.address != self.address and rumour.state <= State.SUSPECT:
            if rumour.address > self.address:  # two that began in one instant: one has to give way
                self.conflict = rumour
            return False
        if rumour.life > self.life:
            if rumour.state <= State.SUSPECT and rumour.address != self.address:
                self.conflict = rumour
            elif not self.left:
                self.life = rumour.life + 1  # its own former life, by a clock that stepped back since
                self.incarnation = 0
                self.refute()
            return False
        if (
            rumour.life < self.life
            or self.left
            or rumour.state == State.ALIVE
            or rumour.incarnation < self.incarnation
        ):
            return False
        self.incarnation = rumour.incarnation + 1
        self.doubted(1)  # others had a reason
        self.counts["refuted"] += 1
        self.refute()
        return True

    def refute(self):
        self.resum()
        self.spread(self.myself())

    def myself(self):
        state = State.LEFT if self.left else State.ALIVE
        return Rumour(self.name, self.address, self.life, self.incarnation, int(state))

    def suspicion(self, confirmations):
        """How long a suspicion waits for its refutation, with so many who have it, too."""
        terms = self.terms
        least = terms.suspicion * max(1.0, math.log10(self.count)) * terms.period
        most = terms.suspicion_most * least
        part = math.log(confirmations + 1) / math.log(terms.confirmations + 1)
        return int(max(least, most - (most - least) * part))

    def suspect(self, member):
        if member.state == State.ALIVE:
            self.counts["suspected"] += 1
            self.hear(
                Rumour(
                    member.name,
                    member.address,
                    member.life,
                    member.incarnation,
                    int(State.SUSPECT),
                    self.name,
                )
            )
            # Duties wait for it: not only with what goes anyway.
            able = [m for m in self.members.values() if m.state == State.ALIVE]
            for other in self.sample(able, min(self.terms.helpers, len(able))):
                self.send(other.address, Kind.NEWS)

    def doubted(self, by):
        self.doubt = min(self.terms.most_doubt, max(0, self.doubt + by))

    # Messages.

    def may_send(self, kind):
        """The one gate: in no second more datagrams than allowed, half of them at once.  Comparing views
        leaves room for pings and their answers, or a fleet that starts at once would take itself for
        dead."""
        half = self.terms.most_per_s / 2
        self.level = min(half, self.level + half * max(0, self.now - self.level_at) / SECOND)
        self.level_at = self.now
        if self.level < (1 if kind in URGENT else 1 + half / 2):
            self.counts["held"] += 1
            return False
        self.level -= 1
        return True

    def send(self, to, kind, nonce=0, target="", told=(), **more):
        """A message with as much news as there is room for; `told` goes in any case."""
        if to == self.address or not self.may_send(kind):
            return False
        self.seq += 1
        message = Message(int(kind), self.name, self.life, self.seq, nonce, target, self.digest(), **more)
        message.rumours, message.notes = list(told), []
        left = self.terms.room - size(message) - 8
        most = self.most_told()
        names = {r.name for r in told}
        for name in sorted(self.rumours, key=self.told.__getitem__)[:SAID]:
            rumour = self.rumours[name]
            if name not in names and (cost := size(rumour)) <= left:
                left -= cost
                message.rumours.append(rumour)
                self.told[name] += 1
                if self.told[name] >= most:
                    del self.rumours[name], self.told[name]
        for key in sorted(self.notes, key=lambda key: self.notes[key].sent)[:SAID]:
            kept = self.notes[key]
            if kept.sent < most:
                note = kept.aged(self.now)
                if (cost := size(note)) <= left:
                    left -= cost
                    message.notes.append(note)
                    kept.sent += 1
        self.counts["sent"] += 1
        self.out.append((to, message))
        return True

    def most_told(self):
        return max(2, math.ceil(self.terms.spread * math.log2(self.count + 1)))

    def receive(self, now, source, message):
        """A message that was read and authenticated; `source` is where it came from."""
        self.now = now
        if message.name == self.name:
            if message.life != self.life and source != self.address:
                self.hear_of_self(Rumour(message.name, source, message.life, 0, int(State.ALIVE)))
                self.send(source, Kind.STALE, told=(self.myself(),))
            return
        member = self.members.get(message.name)
        if member is not None and message.life < member.life:
            self.counts["stale"] += 1  # a former life, or its replay
            self.send(source, Kind.STALE, told=(member.rumour(),))
            return
        if member is None or message.life > member.life:
            self.hear(Rumour(message.name, source, message.life, 0, int(State.ALIVE)))
            member = self.members[message.name]
        if not member.taken(message.seq):
            self.counts["replayed"] += 1
            return
        if message.seq == member.seen:
            member.address = source  # its newest word: that is where it is now
        self.counts["received"] += 1
        member.heard, member.strikes = now, 0
        for rumour in message.rumours:
            self.hear(rumour, message.kind != Kind.NEWS)
        for note in message.notes:
            self.take_note(note)
        kind = message.kind
        if kind == Kind.PING and message.target not in ("", self.name):
            # Meant for who was at this address before: to answer would keep that one alive.
            self.send(source, Kind.NEWS, told=(self.myself(),))
        elif kind == Kind.PING:
            told = (member.rumour(),) if member.state >= State.SUSPECT else ()  # it may refute that
            self.send(source, Kind.ACK, message.nonce, told=told)
        elif kind == Kind.ACK:
            self.answered(message.nonce)
        elif kind == Kind.NACK:
            waiting = self.asked.get(message.nonce)
            if waiting is not None:
                waiting.nacks += 1
        elif kind == Kind.REQUEST and len(message.address) == 6:
            self.ping(message.target, message.address, back=source, back_nonce=message.nonce)
        elif kind == Kind.DIGESTS:
            self.compare(source, message.sums)
        elif kind == Kind.LEASE and message.lease is not None:
            self.leases.append((member, message.lease))
        if kind != Kind.DIGESTS and message.digest != self.digest():
            self.sync(source, member.name)

    # Detection.

    def ping(self, name, address, back=None, back_nonce=0):
        member = self.members.get(name)
        told = (member.rumour(),) if member is not None and member.state >= State.SUSPECT else ()
        self.nonce = nonce = (self.nonce + 1) & MASK
        stretch = 1 + self.doubt
        if not self.send(address, Kind.PING, nonce, name, told=told):
            return None
        over = self.now + (self.terms.period if back is None else self.terms.patience) * stretch
        asked = self.asked[nonce] = Asked(
            nonce, name, address, self.now, self.now + self.terms.patience * stretch, over
        )
        asked.back, asked.back_nonce = back, back_nonce
        return asked

    def answered(self, nonce):
        asked = self.asked.pop(nonce, None)
        if asked is None:
            return
        if asked.back is not None:
            self.send(asked.back, Kind.ACK, asked.back_nonce)
        elif asked.name:
            self.doubted(-1)

    def tick(self, now):
        """Whatever is due by `now`."""
        self.now = now
        for nonce, asked in list(self.asked.items()):
            if now >= asked.due and asked.due < asked.over:
                self.ask_again(asked)
            if now >= asked.over:
                del self.asked[nonce]
                self.unanswered(asked)
        for member in list(self.members.values()):
            if member.state == State.SUSPECT and now >= member.until:
                dead = Rumour(member.name, member.address, member.life, member.incarnation, int(State.DEAD))
                self.hear(dead)
            elif member.state >= State.DEAD and now - member.since > self.terms.forget:
                self.drop(member)
        if now >= self.reach_at and not self.left:
            self.reach_at = now + int(self.terms.reach_every * (0.5 + self.random()))
            self.reach()
        if now >= self.period_at:
            self.period_at = now + self.terms.period * (1 + self.doubt)
            if not self.left:
                self.probe()

    def due(self):
        """When `tick` should be called next."""
        times = [self.period_at, self.reach_at]
        for asked in self.asked.values():
            times.append(min(asked.due, asked.over))
        times += [m.until for m in self.members.values() if m.state == State.SUSPECT]
        return min(times)

    def probe(self):
        """Every other time the next one in turn, each once in a round whose order is drawn anew; else the one
        that was silent the longest, which finds a death sooner in a small fleet.  Suspects are asked in
        their turn alone: so no silent one keeps the others from being asked."""
        self.by_turn = not self.by_turn
        live = [m for m in self.members.values() if m.state == State.ALIVE]
        if live and not self.by_turn:
            least = min(max(m.heard, m.pinged) for m in live)
            quiet = [m for m in live if max(m.heard, m.pinged) == least]
            self.ping_member(quiet[int(self.random() * len(quiet))])
            return
        for _ in range(len(self.order)):
            if self.turn >= len(self.order):
                self.turn = 0
                self.shuffle(self.order)
            member = self.members[self.order[self.turn]]
            self.turn += 1
            if member.state <= State.SUSPECT:
                self.ping_member(member)
                return

    def ping_member(self, member):
        member.pinged = self.now
        self.ping(member.name, member.address)

    def ask_again(self, asked):
        """Where datagrams are lost an answer is missing more often than a member: it is asked again, and by
        others at the second time."""
        member = self.members.get(asked.name)
        if member is None or member.state != State.ALIVE:
            asked.due = asked.over  # it was given up or never known: once will do
            return
        asked.due += self.terms.patience * (1 + self.doubt)
        asked.tries += 1
        self.send(asked.address, Kind.PING, asked.nonce, asked.name)
        if asked.tries > 2 or asked.back is not None:
            return
        able = [m for m in self.members.values() if m.state == State.ALIVE and m.name != asked.name]
        for helper in self.sample(able, min(self.terms.helpers, len(able))):
            asked.asked += self.send(
                helper.address, Kind.REQUEST, asked.nonce, asked.name, address=asked.address
            )

    def unanswered(self, asked):
        if asked.back is not None:
            self.send(asked.back, Kind.NACK, asked.back_nonce)
            return
        member = self.members.get(asked.name)
        if member is None or member.address != asked.address or member.state != State.ALIVE:
            return  # that a suspect is silent is nothing new
        # Lifeguard: who hears not even from the helpers has reason to doubt itself.
        missing = asked.asked - asked.nacks
        if member.heard >= asked.since:
            self.doubted(missing)
            return  # it spoke meanwhile: its answers were lost
        member.strikes += 1
        if member.strikes < STRIKES:
            self.ping(asked.name, asked.address)
        else:
            self.doubted(missing if asked.asked else 1)
            self.suspect(member)

    def reach(self):
        """One that never answered, or that is dead, may be back: a fleet cut in two finds together so."""
        known = {m.address for m in self.members.values() if m.state <= State.SUSPECT}
        dead = [m.address for m in self.members.values() if m.state == State.DEAD]
        lost = sorted((self.peers | set(dead)) - known - {self.address})
        tries = 1 if self.members else 3  # alone yet: sooner
        for address in self.sample(lost, min(tries, len(lost))):
            member = self.member_at(address)
            self.ping(member.name if member is not None else "", address)
        if lost and not any(m.state <= State.SUSPECT for m in self.members.values()):
            self.reach_at = min(self.reach_at, self.now + self.terms.period)

    # Anti-entropy.

    def sync(self, address, name):
        """Views differ: compare them bucket by bucket, with any one not too often.  One that has just begun
        knows little, and duties wait for it to know more: it compares with everybody who speaks to it."""
        young = self.now - self.born < self.terms.young
        every = self.terms.sync_every // (8 if young else 1)
        if self.now - self.synced.get(name, -every) < every:
            return
        if len(self.synced) > 4 * len(self.members) + 64:
            self.synced = {n: at for n, at in self.synced.items() if self.now - at < self.terms.sync_every}
        # News on its way makes views differ for a moment in any case.
        if not young and self.rumours and self.random() > 0.25:
            return
        self.synced[name] = self.now
        self.counts["syncs"] += 1
        self.send(address, Kind.DIGESTS, sums=list(self.sums))

    def compare(self, address, sums):
        """Tell what this one knows of the buckets that differ, some datagrams of it."""
        if len(sums) != BUCKETS:
            return
        differing = [at for at in range(BUCKETS) if sums[at] != self.sums[at]]
        self.shuffle(differing)
        rows, room = {at: [] for at in differing}, self.terms.room - OVERHEAD - len(self.name)
        if self.bucket in rows:
            rows[self.bucket].append(self.myself())
        for member in self.members.values():
            if member.bucket in rows:
                rows[member.bucket].append(member.rumour())
        rows = [rumour for each in rows.values() for rumour in each]
        for _ in range(3):
            if not rows:
                return
            part, left = [], room
            while rows and (cost := size(rows[-1])) <= left:
                left -= cost
                part.append(rows.pop())
            if not part or not self.send(address, Kind.NEWS, told=part):
                return

    # Results.

    def tell(self, kind, about, body, age=0):
        """A result of this member, for all others; it takes the place of the one before."""
        old = self.notes.get((kind, about, self.name))
        number = max((old.note.number if old else 0) + 1, self.life)
        note = Note(kind, about, self.name, number, age // MS, body)
        self.keep_note(note, self.now - age)

    def keep_note(self, note, since):
        key = note.kind, note.about, note.by
        self.notes.pop(key, None)
        self.notes[key] = Kept(note, since)
        while len(self.notes) > self.terms.most_notes:
            del self.notes[next(iter(self.notes))]

    def take_note(self, note):
        old = self.notes.get((note.kind, note.about, note.by))
        if note.by == self.name or old is not None and old.note.number >= note.number or note.age_ms < 0:
            return
        since = self.now - note.age_ms * MS
        self.keep_note(note, since)
        self.heard_notes.append((note, since))

    def forget_notes(self, before):
        """Results made before then are not told on."""
        for key in [key for key, kept in self.notes.items() if kept.since < before]:
            del self.notes[key]

    # Leaving.

    def leave(self, now):
        """Tell some that this one goes, by its own will."""
        self.now, self.left = now, True
        self.resum()
        able = [m for m in self.members.values() if m.state == State.ALIVE]
        for member in self.sample(able, min(3, len(able))):
            self.send(member.address, Kind.NEWS, told=(self.myself(),))

    def ask_lease(self, address, lease: Lease):
        return self.send(address, Kind.LEASE, lease=lease)


class Kept:
    """A note with since when it holds, and how often it was told."""

    __slots__ = ("note", "since", "sent")

    def __init__(self, note, since):
        self.note, self.since, self.sent = note, since, 0

    def aged(self, now):
        n = self.note
        return Note(n.kind, n.about, n.by, n.number, max(0, (now - self.since) // MS), n.body)
