"""Probes of cold backends as a duty: one gateway asks, all hear what was said.

Two owners cost one probe, so a duty is taken over as soon as its owner is suspected.  A report is as good as
it is fresh: what is older than `FRESH` tells nobody anything and is not told on.
"""

from __future__ import annotations

import msgspec

from ..membership.messages import MemberState
from .deal import Deal

MS = 1000
EVERY = 500 * MS  # between probes of one backend, by all gateways together
FRESH = 2 * EVERY
KIND = "probe"


class Probing:
    """`me` by name; backends are known by their ids and objects, told in `follow`."""

    def __init__(self, me):
        self.me, self.deal = me, Deal()
        self.deal.set_members({me: 1.0})
        self.backends, self.at, self.heard = {}, {}, {}
        self.version = None  # of the view that the duties are dealt out by

    def members(self, names):
        """Those that live and are not suspected; this one always counts itself."""
        self.deal.set_members({**dict.fromkeys(names, 1.0), self.me: 1.0})

    def follow(self, cold):
        """The backends that have to be probed now, by their ids."""
        for uid in self.backends.keys() - cold.keys():
            self.deal.drop(uid)
            self.at.pop(uid, None)
            self.heard.pop(uid, None)
        for uid in cold.keys() - self.backends.keys():
            self.deal.add(uid)
        self.backends = dict(cold)

    def wanted(self, listed, cold, now):
        """Of the listed backends, by their ids, those that are cold and that this one has to probe now."""
        self.follow({uid: backend for uid, backend in listed.items() if cold(backend)})
        return [self.backends[uid] for uid in self.due(now)]

    def due(self, now):
        """Ids to be probed by this one now.  A new owner leaves what was just heard of its time."""
        made = []
        for uid in self.backends:
            if self.deal.owner(uid) != self.me:
                continue
            last = max(self.at.get(uid, 0), self.heard.get(uid, 0))
            if now - last >= EVERY:
                self.at[uid] = now
                made.append(uid)
        return made

    def hear(self, core, heed):
        """What the membership core has learned: who lives, and reports, for `heed(backend, load)`; how many
        of these."""
        if self.version != core.view.version:
            self.version = core.view.version
            self.members(m.name for m in core.members.values() if m.state == MemberState.ALIVE)
        used = 0
        while core.results.received:
            note, since = core.results.received.popleft()
            if (read := self.read(note, since, core.local.now_us)) is not None:
                heed(*read)
                used += 1
        return used

    def tell(self, core, now, uid, load):
        """Others hear of a probe's report."""
        body = self.said(load)
        if uid is not None and body is not None:
            core.publish_result(now, KIND, uid, body)
            core.results.forget_before(now - FRESH)

    @staticmethod
    def said(load):
        """A report as it is told to others, or None."""
        return msgspec.msgpack.encode({k: round(v, 3) for k, v in load.items()}) if load else None

    def read(self, note, since, now):
        """(backend, load) of another's report, or None where it is too old or about nobody known here."""
        backend = self.backends.get(note.subject)
        if (
            note.kind != KIND
            or backend is None
            or now - since > FRESH
            or since <= self.heard.get(note.subject, 0)
        ):
            return None
        try:
            load = msgspec.msgpack.decode(note.body, type=dict[str, float])
        except msgspec.DecodeError:
            return None
        self.heard[note.subject] = since
        return backend, load
