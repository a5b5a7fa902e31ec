"""The emulated back end: cores, a waiting room, warm-up, drains, load reports, and the ways in which it
fails.

A backend decides what becomes of an invocation that reached it; who carries the answer back is the business
of the wire in use.  Outcomes are words: "succeeded", "errored", "rejected" (unseen), "broken" (its connection
ended, it may have run), "spoilt" (an answer that cannot be read), "silence".
"""

from __future__ import annotations

from collections import deque

from .network import Party

READY, DRAINING, GONE = "ready", "draining", "gone"


class Job:
    """One delivery at a backend."""

    __slots__ = ("about", "work", "answer", "begun", "timer", "over", "first")

    def __init__(self, about, work, answer, first=False):
        self.about, self.work, self.answer = about, work, answer
        self.begun, self.timer, self.over = None, None, False
        self.first = first  # on a connection made for it


class Trouble:
    """What is wrong with one backend just now; parts are chances."""

    __slots__ = ("slow", "failing", "failing_takes", "lost", "lost_how", "resets", "spoilt")

    def __init__(self):
        self.slow, self.failing, self.failing_takes = 1.0, 0.0, 0
        self.lost, self.lost_how, self.resets, self.spoilt = 0.0, "silence", 0.0, 0.0


class Backend:
    def __init__(self, world, number, uid, zone, size=1.0):
        self.world, self.terms, self.clock, self.chance = (
            world,
            world.scenario.backends,
            world.clock,
            world.chance("backends"),
        )
        self.number, self.uid, self.zone, self.group, self.weight = number, uid, zone, number // 4, size
        self.party = Party("backends", zone)
        self.cores = max(1, round(self.terms.cores * size))
        self.state, self.up, self.started, self.fallen = READY, True, 0, False
        self.trouble, self.life = Trouble(), 0  # life: counts its starts; connections are of one life
        self.open = 0  # connections
        self.fresh()

    def fresh(self):
        self.working, self.waiting = set(), deque()
        self.arrived, self.arrived_work = deque(), 0.0  # while cold, in the span of the rule
        self.reported, self.report_at = None, 0
        self.busy, self.busy_at, self.done = 0.0, self.clock.now, 0

    # Life.

    def part(self):
        """The part of its capacity that it has by now."""
        age = self.clock.now - self.started
        if not self.started or age >= self.terms.cold:
            return 1.0
        return self.terms.cold_from + (1 - self.terms.cold_from) * age / self.terms.cold

    def stop(self, silent=False):
        """It dies: what it has ends broken, or in silence when its machine vanishes."""
        self.up = False
        self.party.vanished = silent
        for job in [*self.working, *self.waiting]:
            if job.timer is not None:
                self.clock.cancel(job.timer)
            self.end(job, "silence" if silent else "broken")
        if not silent:
            self.open, self.life = 0, self.life + 1

    def start(self):
        """It comes back cold."""
        self.up, self.party.vanished, self.started, self.fallen = True, False, self.clock.now, False
        self.open, self.life, self.state = 0, self.life + 1, READY
        self.fresh()

    # Work.

    def arrive(self, job):
        if not self.up or self.fallen:
            return self.end(job, "broken")
        self.weigh(job)
        if self.fallen:
            return self.end(job, "broken")
        trouble = self.trouble
        if trouble.resets and self.chance.random() < trouble.resets / 2:
            return self.end(job, "broken")
        if self.state != READY or len(self.working) + len(self.waiting) >= self.terms.holds:
            return self.end(job, "rejected")
        if trouble.failing and self.chance.random() < trouble.failing:
            job.timer = self.clock.after(trouble.failing_takes, self.end, job, "errored")
            self.working.add(job)
            return None
        if len(self.working) < self.cores:
            self.begin(job)
        else:
            self.waiting.append(job)
        return None

    def weigh(self, job):
        """Rule 4: what arrives at a cold backend within the rule's span, beside what it can do by now."""
        if self.part() >= 1.0:
            return
        now, span = self.clock.now, self.terms.fall
        self.arrived.append((now, job.work))
        self.arrived_work += job.work
        while self.arrived and self.arrived[0][0] <= now - span:
            self.arrived_work -= self.arrived.popleft()[1]
        room = self.terms.fall_multiple * self.part() * self.cores * span + 3 * self.terms.work
        if self.arrived_work > room:
            self.fallen = True
            for other in [*self.working, *self.waiting]:
                if other.timer is not None:
                    self.clock.cancel(other.timer)
                self.end(other, "broken")
            self.world.oracle.fell(self)

    def begin(self, job):
        self.account()
        self.working.add(job)
        job.begun = self.clock.now
        self.world.oracle.ran(self, job.about)
        took = (job.work + self.terms.handshake * job.first) * self.trouble.slow / self.part()
        job.timer = self.clock.after(max(1, int(took)), self.finish, job)

    def finish(self, job):
        trouble, outcome = self.trouble, "succeeded"
        if trouble.lost and self.chance.random() < trouble.lost:
            outcome = "silence" if trouble.lost_how == "silence" else "broken"
        elif trouble.resets and self.chance.random() < trouble.resets / 2:
            outcome = "broken"
        elif trouble.spoilt and self.chance.random() < trouble.spoilt:
            outcome = "spoilt"
        self.done += 1
        self.world.tally.worked(self.clock.now - job.begun)
        self.end(job, outcome)

    def end(self, job, outcome):
        self.account()
        self.working.discard(job)
        while self.waiting and len(self.working) < self.cores and self.up:
            following = self.waiting.popleft()
            if not following.over:
                self.begin(following)
        if not job.over:
            job.over = True
            job.answer(outcome)

    def cancel(self, job):
        """Nobody waits for it any more: waiting work is dropped, running work where it can be stopped."""
        job.over = True
        if job.begun is None and job in self.waiting:
            self.waiting.remove(job)
        elif self.terms.stops_cancelled and job in self.working:
            self.clock.cancel(job.timer)
            self.end(job, "broken")

    # Reports.

    def account(self):
        now = self.clock.now
        self.busy += len(self.working) / self.cores * (now - self.busy_at)
        self.busy_at = now

    def report(self):
        """Refreshed now and then."""
        now = self.clock.now
        if self.reported is None or now - self.report_at >= self.terms.reports_every:
            self.account()
            span = max(1, now - self.report_at) if self.reported else 1
            self.reported = {
                "queue": float(len(self.waiting)),
                "inflight": float(len(self.waiting) + len(self.working)),
                "util": min(1.0, self.busy / span) if self.reported else 0.0,
            }
            self.report_at, self.busy = now, 0.0
        return self.reported
