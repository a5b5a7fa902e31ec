"""Every decision of the gateway, with every table and tuned value.

How to call it: one `Gateway(settings, seed, now)` for each running gateway; backends are made as `Target`,
customers as `Account`; set `gateway.now` before each event.  Start the generators of `chores()` once, one
`invocation(inv)` for each one taken, and run `ended(delivery, ...)` to its end for each delivery that ended,
before the invocation itself is resumed.  Call `roster` after the list changed.  What is yielded and comes
back is in `kestrelbend/interface.py`; `docs/design.md` tells why."""
from __future__ import annotations

import math
from random import Random

from .interface import (Backend, Cancel, Count, Customer, Deliver, Delivery, Effect, Fail, Log,
                        Pause, Probe, Result, Scope, Spawn, State, Subscribe, Throttle, Wake)
from .keys import stable_key
from .routing.pool import GOLDEN, Pool

SECOND = 1_000_000

# Quota and retry budget.
WINDOW_BURSTS = 3            # window of the quota names, in burst-over-rate; the design starts at 1
LONGEST_LIFE = 60 * SECOND   # the counter service forgets by then
RETRY_SHARE, RETRY_FLOOR = 0.20, 3     # marked retries over the quota total; rate-seconds it must exceed
RETRY_RESERVE = 0.5         # part of the burst that a retry must leave to first tries
RETRY_AFTER = 0.2           # part of the objective; the design starts at 1 s
UNEVEN = 4                  # units that turns may be uneven by, of a ceiling's burst or within its slack
OUT_WINDOW, PACK = 10 * SECOND, 1000     # window under a cap; a unit over a delivery out, in one total
SILENT_AFTER, SILENT_PAUSE = 3, SECOND // 4     # failed calls in a row: counter silent; between calls to it
CROWDED, QUIET, LEAST_CALLED = 0.6, 1.025, 0.02    # calls that fail cut the part called for
CAP_SETS = 4                 # caps in a set so many times as wide are not counted
PATIENCE, SPARED = 0.15, SECOND   # part of the objective for a late total; after a call turned away, at most
# Part of the burst a sampled call stands for at half of the calls; not known and short ones: so much less.
GRAIN, UNKNOWN, SHORT = 0.1, 3.0, 2.0
USUAL, REMEMBERED = 1.0, 0.6    # use over rate of a customer not met before; bursts-over-rate it weighs

# Backends.
FIRST_ROOM, LEAST_ROOM, MOST_ROOM = 6.0, 1.5, 192.0     # credits at a backend, over all gateways
SLOW = 0.32                  # an answer past this part of the objective earns less than it cost
QUICK_EARNS, SLOW_LOSES, ERROR_LOSES = 0.1, 0.4, 0.7     # a quick one earns more, so one in five may be slow
ERROR_EXPECTED, ERROR_SICK, SICK_AT = 0.02, 0.35, 4.6     # sequential test on outcomes
FAILS, MOST_APART = 0.4, 0.9     # one operation or plan at a backend: how its part moves, its most
SHARED, MOST_SHARED = 0.01, 0.15     # part of outcomes that is nobody's fault: how it moves, its most
BENCH, LONGEST_BENCH, MOST_BENCHED = SECOND, 8 * SECOND, 1 / 3      # the last but for refused connections
ALL_SLOW, PRESSED = 0.2, 0.3     # a median answer past this part of the objective: all are pressed; to rest
IDLE, WAIT = 0.5, 0.2        # rooms do not grow with more free; part of the objective to wait for a credit
COLD_MARGIN, COLD_CHANCE = 0.7, 0.5     # part of the rule for all gateways; where a part is under one
FEW, LEAST_LEFT = 4.0, 0.1   # credits so few that chance leaves some unused; the least that counts as left
ASK_EVERY, FULL = SECOND // 2, 0.9   # probes of a cold backend; the busy share that leaves no room

BINS, PER_OBJECTIVE, HALVE_AT = 24, 12, 256


class Histogram:
    """Answer times in parts of the latency objective, halved now and then."""

    def __init__(self):
        self.bins = [0] * BINS
        self.total, self.sum, self.half = 0, 0.0, 0.0   # of bins, of middles; median, None: not known

    def add(self, part):
        i = min(BINS - 1, int(part * PER_OBJECTIVE))
        self.bins[i] += 1
        self.total, self.sum, self.half = self.total + 1, self.sum + i + 0.5, None
        if self.total >= HALVE_AT:
            self.bins = [n // 2 for n in self.bins]
            self.total, self.sum = sum(self.bins), sum((i + 0.5) * n for i, n in enumerate(self.bins))

    def median(self):
        if self.half is None:
            below = 0
            for i, n in enumerate(self.bins):
                if n and below + n >= self.total / 2:
                    self.half = (i + (self.total / 2 - below) / n) / PER_OBJECTIVE
                    break
                below += n
        return self.half

    def mean(self, otherwise):
        """With one answer at `otherwise` thrown in, so that a few answers say little."""
        return (self.sum / PER_OBJECTIVE + otherwise) / (self.total + 1)


class Target(Backend):
    """A backend, with what this gateway has seen of it."""

    def __init__(self):
        super().__init__()
        self.out, self.pooled = 0, False        # credits spent; whether it may be picked
        self.fresh()

    def fresh(self):
        self.room, self.sick, self.bench, self.benched = 0.0, 0.0, 0, 0
        self.full = False                       # by its own load report
        self.times = Histogram()
        self.fails = {}                         # part of the outcomes of late, by operation and by plan
        self.slot, self.sent, self.most = None, 0, 0    # while cold: sent in this quarter span, of how many
        # Or, where that is less than one: drawn for this pick, whether it may be sent to, by which chance.
        self.drawn, self.luck, self.chance = None, False, 0.0
        self.born = self.started


class Account(Customer):
    """A customer, with what this gateway knows of its use."""

    def __init__(self, name, plan, spread):
        super().__init__(name, plan, spread)
        self.left, self.as_of = None, 0         # limit less total, as of then; None: no total seen yet
        self.window, self.total = None, 0.0     # quota window and the last total seen there
        self.owed, self.guessed = 0.0, 0.0      # units to tell the service of; taken off `left` for others
        self.spared_until, self.asked = 0, None  # call turned away: none before; asked a second, of all
        self.share, self.share_dealt = 0, None  # this gateway's part of the hard ceiling
        self.key = None                         # its key in the news
        self.out, self.all_out, self.asking = 0, 0, 0   # out here, at all as last seen; being counted
        self.owed_out, self.full_until, self.line = 0, 0, []    # to tell of; cap taken as reached; who waits

    def allowed(self):
        """The part of what is asked for that there is room for."""
        return min(1.0, self.plan.rate / self.asked) if self.asked and self.plan.rate else 1.0


class Gateway:
    def __init__(self, settings, seed, now):
        self.settings, self.now, self.rng = settings, now, Random(seed)
        self.pool = Pool(settings["gateways"], settings["gateway"], now)
        self.waiting, self.news = [], None      # shares.news.News, where gateways tell each other of use
        self.failed, self.units = 0.0, 1.0      # part of the outcomes of late; mean of an invocation
        self.debt = 0.0             # what slow answers cost beyond the least room of their backends
        # Answers of warm backends and picks, halved now and then.
        self.answers, self.picks, self.answers_from = 0.0, 0.0, now
        # Who has less of the burst left than the part `called` is called for.
        self.silent, self.silent_until, self.called = 0, 0, 1.0
        self.rest = 0               # no delivery before, while pressed
        self.subscribed, self.born, self.times = False, now, Histogram()
        objective = min((op.objective for op in settings["operations"]), default=0)
        self.counter_wait = max(settings["counter_timeout"], int(PATIENCE * objective))

    # Discovery.

    def chores(self):
        s = self.settings
        asks = [self.ask_fresh()] * (s["may_probe"] and s["load_reports"] == "probe")
        return asks + [self.keep_subscribed()] * s["must_subscribe"]

    def ask_fresh(self):
        """Backends that report only when probed are probed while they are cold: by all gateways together
        about as often as by one alone, drawn here by chance: else they grow with gateways times backends."""
        while True:
            for t in filter(self.cold, list(self.pool.members)):
                if self.rng.random() * self.pool.sharers() < 1:
                    yield Spawn(self.ask(t))
            yield Pause(self.now + ASK_EVERY)

    def ask(self, t):
        self.heed(t, (yield Probe(t)).load)

    def heed(self, t, load):
        if load:
            t.full = load.get("queued", 0) >= 1 or load.get("busy", 0) > FULL

    def keep_subscribed(self):
        while True:
            if not self.subscribed:
                self.subscribed = True
                yield Subscribe()
            yield Pause(self.now + self.settings["ask_within"] // 8)

    def roster(self, targets, failed):
        self.subscribed = self.subscribed and not failed
        ready = [t for t in targets if t.state is State.READY]
        for t in ready:
            if t.started != t.born:
                t.fresh()
        self.pool.listed(ready)
        self.fill()

    def fill(self):
        self.pool.fill(self.now, self.part)
        for t in self.pool.members:
            if not t.room:
                self.pool.resize(t, (LEAST_ROOM if self.cold(t) else FIRST_ROOM) / self.pool.sharers())

    # One invocation, from top to bottom.

    def invocation(self, inv):
        acc = inv.customer
        wait = yield from self.admit(inv)
        if wait is not None or inv.done:
            yield from self.give_back(inv)
            yield from self.refuse(inv, wait)
        else:
            acc.out += 1
            yield from self.serve(inv)
            acc.out -= 1
            if not inv.deliveries:
                yield from self.give_back(inv)
            elif inv.counted is not None:
                acc.full_until = 0
                yield from self.release(inv)
        if acc.line:
            yield Wake(acc.line[0])

    def serve(self, inv):
        give_up = inv.until - 2 * self.settings["tick"]
        objective = inv.op.objective
        aim = inv.arrived + objective if not inv.op.late_worth else give_up
        while not inv.done:
            out = [d for d in inv.deliveries if d.result is None]
            # At its cap a late one holds the place of another in vain.
            end = aim if 0 < inv.customer.plan.most_out <= inv.customer.all_out else give_up
            if self.now >= min(end, give_up):
                yield from self.close(inv)
                break
            for d in [d for d in out if not d.overdue and self.now >= d.sent + objective]:
                yield from self.overdue(d)
            if not out:
                if not self.may_repeat(inv) or inv.deliveries and self.now >= aim:
                    yield from self.close(inv)
                    break
                target = self.pick(inv)
                if target and (yield from self.deliver(inv, target, give_up)):
                    continue
                gap = self.gap(inv.op, self.room())
                began = max([inv.arrived, *(d.sent + d.took for d in inv.deliveries)])
                patience = min(give_up, began + int(WAIT * objective) + gap)
                ahead = sum(w is not inv and self.value(w) >= self.value(inv) for w in self.waiting)
                if self.now + (ahead + 1) * gap > patience:
                    yield from self.close(inv)
                    break
                if inv not in self.waiting:
                    self.waiting.append(inv)
                    self.waiting.sort(key=self.value, reverse=True)
                yield Pause(min(patience, self.rest) if self.rest > self.now else patience)
                continue
            due = [d.sent + objective for d in out if not d.overdue]
            yield Pause(min(at for at in (give_up, aim, *due) if at > self.now))
        for d in inv.deliveries:
            if d.result is None and self.settings["may_cancel"] and not inv.streaming:
                yield Cancel(d)
        if inv in self.waiting:
            self.waiting.remove(inv)

    # Quota and retry budget.

    def admit(self, inv):
        """None lets the invocation in; else how long its client should wait."""
        acc, plan = inv.customer, inv.customer.plan
        if plan.ceiling_rate and (missing := inv.units - self.ceiling_share(acc)) > 0:
            return self.after(inv, missing * acc.spread / plan.ceiling_rate)
        self.units += 0.01 * (inv.units - self.units)
        if self.news and plan.rate:
            self.news.saw(self.key(acc), plan.number, inv.units, inv.retry)
        if self.called < 1 and self.wide(acc):
            return (yield from self.admit_sampled(inv))
        # Near the limit a first try, with all its objective before it, goes before a marked retry.
        short = self.shortage(acc, inv.units + (RETRY_RESERVE * plan.burst if inv.retry else 0.0))
        if short > 0:
            return self.beyond(inv, self.after(inv, short / plan.rate))
        spared = inv.retry and self.rng.random() >= self.called
        if plan.most_out and (spared or (yield from self.no_place(inv))):
            return self.beyond(inv, self.after(inv))
        inv.counted = (math.ceil(inv.units) if plan.most_out else inv.units) if plan.rate else 0
        inv.window = self.enter(acc)
        # A crowded counter turns calls away blindly; spare it those for whom the total matters least.
        near = plan.rate and (acc.left is None or acc.left - inv.units < self.called * plan.burst)
        near = (near or plan.most_out) and self.now >= acc.spared_until
        if near and self.counter_answers(inv):
            acc.asking += 1
            yield from self.tally(acc, inv.counted, 1)
            acc.asking -= 1
            if self.shortage(acc, 0.0) > 0:
                yield from self.give_back(inv)
                return self.beyond(inv, self.after(inv, self.shortage(acc, 0.0) / plan.rate))
            if plan.most_out and acc.all_out > plan.most_out:
                acc.full_until = self.now + int(self.gap(inv.op, plan.most_out) / max(self.called, 0.2))
                yield from self.give_back(inv)
                return self.beyond(inv, self.after(inv))
        elif plan.most_out and acc.out >= max(1, plan.most_out // acc.spread):
            inv.counted = None          # no total: keep to a part of the cap
            return self.beyond(inv, self.after(inv))
        else:                       # no call: let in, but so that a flood still ends; the next total tells
            self.guess(acc, inv.counted, 1)
        pressed = self.waiting or not self.free()
        if inv.retry and plan.rate and self.counter_answers(inv) and (pressed or self.called >= 1):
            reply = yield from self.call(self.name(acc, "retries", self.enter(acc)), 1, self.life(acc))
            if (pressed and acc.total > RETRY_FLOOR * plan.rate and reply.total > RETRY_SHARE * acc.total):
                yield from self.give_back(inv)
                return self.after(inv)
        return None

    def wide(self, acc):
        """A set so wide that what this gateway saw of the customer's use is old when it is asked again."""
        store = acc.plan.burst if acc.plan.rate else CAP_SETS * acc.plan.most_out or math.inf
        return acc.spread * self.units > store

    def no_place(self, inv):
        """Under a cap an invocation waits in turn for a place; at the last total seen there may be none."""
        acc, most = inv.customer, inv.customer.plan.most_out
        end = min(inv.until, inv.arrived + int(WAIT * inv.op.objective))
        acc.line.append(inv)
        while full := acc.out + acc.asking >= most or self.now < acc.full_until:
            if inv.done or self.now + (acc.line.index(inv) + 1) * self.gap(inv.op, most) > end:
                break
            yield Pause(end if self.now >= acc.full_until else min(end, acc.full_until))
        acc.line.remove(inv)
        return inv.done or full

    def admit_sampled(self, inv):
        """The counter takes fewer calls than there are tries: a part is called for, each for others as well.
        What was refused stays counted, the share goes on that there was room for; a retry needs a total."""
        acc, plan = inv.customer, inv.customer.plan
        acc.left = None                         # it must be learned anew when all are called for again
        share = self.news.share(self.key(acc), self.now) if self.news and plan.rate else None
        if share is not None:
            return (yield from self.admit_told(inv, share))
        share, known = acc.allowed(), None
        most = plan.most_out if plan.rate else max(1, plan.most_out // acc.spread)
        if (inv.retry and (share < 1 or self.rng.random() >= self.called)
                or plan.most_out and acc.out >= most or self.rng.random() >= share):
            return self.beyond(inv, self.after(inv))
        if plan.rate and self.counter_answers(inv):
            grain = GRAIN * (1 / self.called - 1) * plan.burst
            often = UNKNOWN if acc.asked is None else SHORT if share < 1 else 1.0
            part = 1.0 if inv.retry or not grain else min(1.0, often * inv.units / grain)
            if self.rng.random() < part:
                known = yield from self.sample(inv, part * share, share)
        if known is False or inv.retry and not known:
            return self.beyond(inv, self.after(inv))
        return None

    def admit_told(self, inv, share):
        """By what all gateways told the meter of late, where the counter cannot be asked for each.  It goes
        on counting, for those whom no news reaches and for when there is none."""
        acc, plan = inv.customer, inv.customer.plan
        acc.asked = plan.rate / max(share.part, 0.01)
        pressed = self.waiting or not self.free()
        if (inv.retry and (share.part < 1 or pressed and not share.retries)
                or plan.most_out and acc.out >= plan.most_out or self.rng.random() >= share.part):
            return self.beyond(inv, self.after(inv))
        if self.counter_answers(inv) and self.rng.random() < self.called:
            yield Spawn(self.sample(inv, self.called, 1.0))
        return None

    def sample(self, inv, part, share):
        """Count for those not called for too, of whom `share` were let through to here, and learn what is
        asked for; whether there is room for this one, None where that stays unknown."""
        acc, plan, units, add = inv.customer, inv.customer.plan, inv.units, inv.units / part
        window, length = self.enter(acc), self.window_length(acc)
        if plan.most_out:                       # whole ones: deliveries out may stand behind the point
            add = math.floor(add + self.rng.random())
        reply = yield from self.call(self.name(acc, "units", window), add, self.life(acc))
        if (reply.result is not Result.SUCCEEDED or window != acc.window
                or self.news and self.news.share(self.key(acc), self.now)):
            return None
        passed, total = max(1, self.now - window * length) / SECOND, reply.total - add + units
        self.learn(acc, total / passed, passed)
        # A customer that was short before is taken to have begun this window short.
        used, refill = total - plan.burst * share, plan.rate * passed
        return used <= refill or self.rng.random() * used * share < refill

    def learn(self, acc, asked, seconds):
        """What a customer asks for, as seen over so many seconds, beside what was known of it."""
        before, weight = acc.asked or USUAL * acc.plan.rate, REMEMBERED * acc.plan.burst / acc.plan.rate
        acc.asked = (before * weight + asked * seconds) / (weight + seconds)

    def beyond(self, inv, wait):
        """Beyond the quota: let in where that earns more than it costs and a quarter is free."""
        plan = inv.customer.plan
        pays = plan.over_worth > plan.over_cost and not self.waiting and self.free() > self.room() / 4
        return None if pays else wait

    def shortage(self, acc, units):
        """Units missing to let `units` in, by the last total seen; not above 0 if there is enough."""
        if acc.left is None or not acc.plan.rate:
            return 0.0
        return units - min(acc.plan.burst, self.refilled(acc))

    def refilled(self, acc):
        return acc.left + acc.plan.rate * (self.now - acc.as_of) / SECOND

    def enter(self, acc):
        """The present window; what is out but counted under the last one's name is let go."""
        if (window := self.now // self.window_length(acc)) != acc.window:
            acc.window, acc.total, acc.owed_out = window, 0.0, 0
        return window

    def window_length(self, acc):
        plan = acc.plan
        length = int(WINDOW_BURSTS * plan.burst / plan.rate * SECOND) if plan.rate else OUT_WINDOW
        return max(SECOND, min(length, OUT_WINDOW if plan.most_out else LONGEST_LIFE * 9 // 10))

    def life(self, acc):
        return min(LONGEST_LIFE, self.window_length(acc) * 11 // 10)

    def key(self, acc):
        """The customer in the news; told apart by 32 bits."""
        if acc.key is None:
            acc.key = stable_key(f"{acc.plan.name} {acc.name}") & 0xffffffff
        return acc.key

    def name(self, acc, what, window):
        return stable_key(f"{acc.plan.name} {acc.name} {what} {window}")

    def call(self, name, add, life):
        asked, reply = self.now, (yield Count(name, add, life))
        if reply.result is Result.SUCCEEDED:
            if self.silent >= SILENT_AFTER:
                yield Log("counter service answers again", None)
            # A late total is still true, but the service is crowded.
            late, self.silent = self.now - asked > self.settings["counter_timeout"], 0
            self.called = max(LEAST_CALLED, min(1.0, self.called * (CROWDED if late else QUIET)))
            return reply
        reply.total, self.called = 0.0, max(LEAST_CALLED, self.called * CROWDED)
        if reply.result is not Result.REJECTED:     # that would be a crowded one, not a silent one
            self.silent += 1
            if self.silent == SILENT_AFTER:
                yield Log("counter service silent: quotas go by what was last seen", None)
            if self.silent >= SILENT_AFTER:
                self.silent_until = self.now + SILENT_PAUSE
        return reply

    def counter_answers(self, inv):
        """Whether to ask it; never when its answer might come after the client gave up (rule 1)."""
        s = self.settings
        return (s["may_count"] and inv.until - self.now > self.counter_wait + 4 * s["tick"]
                and (self.silent < SILENT_AFTER or self.now >= self.silent_until))

    def tally(self, acc, units, out):
        """Add to the customer's total and bring `left` and `all_out` up to date by what comes back.
        The one number holds whole units and, under a cap, deliveries out in thousandths."""
        plan, window, length = acc.plan, self.enter(acc), self.window_length(acc)
        out = (out + acc.owed_out) if self.packs(plan) else 0
        owed, acc.owed, acc.owed_out = acc.owed, 0.0, 0
        add = units + owed + out / PACK
        reply = yield from self.call(self.name(acc, "units", window), add, self.life(acc))
        if reply.result is not Result.SUCCEEDED:
            if reply.result is Result.TIMED_OUT:    # it may have counted: take it so, the next total tells
                acc.total += units + owed
                self.guess(acc, units, 0)
            else:
                acc.owed += owed
                self.guess(acc, units, out)
                acc.spared_until = self.now + int((1 - self.called) * SPARED)
            acc.all_out = max(acc.out + 1, 0 if self.silent >= SILENT_AFTER else acc.all_out)
            return
        total = reply.total
        if out or plan.most_out:
            packed = round(total * PACK)
            total = (packed + PACK // 2) // PACK
            acc.all_out = packed - total * PACK
        if window != acc.window:
            return
        if acc.left is None:
            elapsed = self.now - window * length
            limit = min(plan.burst + plan.rate * elapsed / SECOND, plan.rate * length / SECOND)
            acc.left, acc.as_of = min(plan.burst, limit - (total - units)) - units, self.now
        else:
            used = total - acc.total - owed
            if used < -acc.total / 2:       # the service came back empty
                used = max(units, total - owed)
            # Others' use since the last total is taken as even, so refill is cut off only after it.
            acc.left, acc.as_of = min(plan.burst, self.refilled(acc) + acc.guessed - used), self.now
        acc.total, acc.guessed = total, 0.0

    def packs(self, plan):
        """Whether the total leaves digits for deliveries out: the counter service gives seven."""
        return plan.most_out and plan.burst * (WINDOW_BURSTS + 1) * PACK < 1e7 and 2 * plan.most_out < PACK

    def guess(self, acc, units, out):
        """Without a total, the customer's other gateways are taken to let in as much as this one."""
        acc.owed, acc.owed_out = acc.owed + units, acc.owed_out + out
        if acc.left is None:
            acc.left, acc.as_of = acc.plan.burst, self.now
        others = units * (acc.spread - 1)
        acc.left = min(acc.plan.burst, self.refilled(acc)) - units - others
        acc.guessed, acc.as_of = acc.guessed + others, self.now

    def release(self, inv):
        """What counted as out no longer does; under a name now past it stands until that is forgotten."""
        acc = inv.customer
        if acc.plan.most_out and inv.window == self.enter(acc):
            acc.owed_out -= 1
            if acc.owed_out and self.settings["may_count"]:
                yield Spawn(self.tally(acc, 0, 0))

    def give_back(self, inv):
        """Take back what was counted for an invocation that is not sent on."""
        acc, units, inv.counted = inv.customer, inv.counted, None
        if units is not None:
            acc.owed -= units
            if acc.left is not None:
                acc.left += units
            yield from self.release(inv)
            # In a wide set the next call is far off, and what was refused stood as used with all others.
            if units and acc.owed < 0 and self.called >= 1 and self.wide(acc) and self.settings["may_count"]:
                yield Spawn(self.tally(acc, 0, 0))

    def past(self, acc):
        """Whether a new account would know as much, so that the front end may forget this one."""
        over = ((acc.window or 0) + 1) * self.window_length(acc) + LONGEST_LIFE
        return not acc.out and self.now > over and (
            not acc.plan.ceiling_rate
            or self.ceiling_share(acc) >= self.ceiling_share(Account(acc.name, acc.plan, acc.spread)))

    def after(self, inv, seconds=0.0):
        """A retry-after, if one may be told: when there are units, else soon enough to be in time."""
        return max(int(RETRY_AFTER * inv.op.objective), int(seconds * SECOND)) * self.settings["may_advise"]

    def ceiling_share(self, acc):
        """This gateway's part of a hard ceiling: whole units, dealt to the gateways in turn and lost when not
        used for as long as it takes to fill the burst.  (An even part of a unit left none for seconds after a
        start.)  What was dealt before this process began a former life may have spent."""
        dealt = self.dealt(acc, self.now)
        if acc.share_dealt is None:
            acc.share_dealt = self.dealt(acc, self.born)
        plan = acc.plan
        uneven = min(UNEVEN, acc.spread - 1) - plan.ceiling_slack
        burst = max(min(1.0, plan.ceiling_burst), plan.ceiling_burst - max(0.0, uneven))
        most = dealt - self.dealt(acc, self.now - int(burst / plan.ceiling_rate * SECOND))
        acc.share, acc.share_dealt = min(most, acc.share + dealt - acc.share_dealt), dealt
        return acc.share

    def dealt(self, acc, at):
        """How many units this gateway was dealt by then; by the golden section, any row of them evenly."""
        turn = self.settings["gateway"] * GOLDEN + stable_key(acc.name) / 2 ** 63
        return math.floor(at * acc.plan.ceiling_rate / (acc.spread * SECOND) + turn % 1.0)

    # The choice of backend.

    def room(self):
        """Credits in all; a part of one still lets one invocation through."""
        if self.pool.returns <= self.now:       # one benched is back
            self.fill()
        left = max(0.0, self.pool.rooms - self.debt)
        more = min(2 * math.sqrt(left), FEW / max(left, 0.1)) if self.times.median() <= ALL_SLOW else 0.0
        return max(1, int(left + more))

    def free(self):
        return max(0, self.room() - self.pool.out) if self.now >= self.rest else 0

    def relax(self, took):
        """With less than one credit in all and pressed backends, rest after a delivery for the part that is
        missing.  (Seen: hundreds of gateways with one out each, four a core, and nothing in time.)"""
        left = max(LEAST_LEFT, self.pool.rooms - self.debt)
        if left < 1 and not self.pool.out and self.times.median() > PRESSED:
            self.rest = self.now + int(took * (1 / left - 1))

    def earn(self, t, credit):
        n = self.pool.sharers()
        if credit > 0:
            paid = min(credit, self.debt)
            self.debt, credit = self.debt - paid, credit - paid
        wanted = t.room + credit
        self.pool.resize(t, min(MOST_ROOM / n, max(LEAST_ROOM / n, wanted)))
        most = self.pool.rooms - LEAST_ROOM / n * len(self.pool.members)
        if self.times.median() > ALL_SLOW:      # else it is this backend's own matter
            self.debt += max(0.0, t.room - wanted)
        self.debt = min(max(0.0, most), self.debt)

    def pick(self, inv):
        if not self.free() or not self.may_go(inv):
            return None
        self.picks += 1
        tried = {d.backend for d in inv.deliveries}
        lost = {d.backend.zone for d in inv.deliveries if d.result is Result.UNREACHABLE}
        usual = self.times.mean(0.2)
        best, least = None, math.inf
        for t in self.pool.candidates(self.rng):
            if t.out >= 1.0 and t.out >= t.room or not self.may_take(inv, t):
                continue
            score = (t.out + 1) * t.times.mean(usual) / t.weight * (0.9 + 0.2 * self.rng.random())
            score /= 1 - (self.apart(t, inv) if t.fails else 0.0)
            if t.luck and self.cold(t):     # its draw already holds it to its share
                score /= 10
            score *= 100 if t in tried else 10 if t.zone in lost else 1     # a hall may be lost as a whole
            if score < least:
                best, least = t, score
        return best or next((t for t in self.pool.order if t.bench <= self.now and self.may_take(inv, t)
                             and (t.out < 1.0 or t.out < t.room)), None)

    def ended(self, delivery, load=None, actual=0, used=None):
        """A delivery ended: earn its credit back, judge its backend, wake who waits.  `used` is what the
        answer tells of the customer's use by all gateways, as a part of its rate, in a late period."""
        t, inv, acc, result = delivery.backend, delivery.inv, delivery.inv.customer, delivery.result
        part = delivery.took / inv.op.objective
        self.heed(t, load)
        if used is not None and acc.plan.rate:
            self.learn(acc, used * acc.plan.rate / acc.allowed(), self.settings["meter_period"] / SECOND)
        if not delivery.overdue:
            self.pool.give_back(t)
        expected = self.note(t, inv, result)
        if result is Result.SUCCEEDED:
            t.times.add(part)
            self.times.add(part)
            if not self.cold(t):
                self.answers += 1
                if self.now - self.answers_from > 10 * SECOND:
                    self.answers, self.picks = self.answers / 2, self.picks / 2
                    self.answers_from = (self.answers_from + self.now) // 2
            if part <= SLOW and t.out + 2 > t.room and self.free() < IDLE * self.room() + 1:
                self.earn(t, QUICK_EARNS)
            elif part > SLOW and not delivery.overdue:
                self.earn(t, -SLOW_LOSES)
            if actual and acc.plan.rate and inv.counted is not None:
                acc.owed += actual - inv.counted
                if acc.left is not None:                # a first total may be late, its window past
                    acc.left -= actual - inv.counted
            yield from self.judge(t, result, expected)
        elif not delivery.overdue and result not in (Result.CANCELLED, Result.VOID):
            self.earn(t, -ERROR_LOSES * (1 - expected))
            if result is not Result.REJECTED:
                yield from self.judge(t, result, expected)
        self.relax(min(delivery.took, inv.op.objective))
        yield from self.wake()

    def wake(self):
        for waiter in self.waiting[:self.free()]:
            yield Wake(waiter)

    def overdue(self, d):
        """Past its objective a delivery gives its credit back, as a slow answer would: else long work, or a
        silent backend, holds all credits until the client gives up."""
        d.overdue = True
        self.pool.give_back(d.backend)
        self.earn(d.backend, -SLOW_LOSES)
        self.relax(d.inv.op.objective)
        yield from self.judge(d.backend, Result.TIMED_OUT, self.note(d.backend, d.inv, Result.TIMED_OUT))
        yield from self.wake()

    def note(self, t, inv, result):
        """Keep what fails of each operation and plan at a backend; what failed apart before."""
        before = self.apart(t, inv)
        if result not in (Result.CANCELLED, Result.VOID, Result.UNREACHABLE):
            failed = result is not Result.SUCCEEDED
            for kind in (inv.op, inv.customer.plan):
                if failed or kind in t.fails:
                    t.fails[kind] = t.fails.get(kind, 0.0) * (1 - FAILS) + FAILS * failed
        return before

    def apart(self, t, inv):
        """What fails of this operation or plan beyond what does of all there.  (Seen: backends that fail one
        operation, or turn one plan away, and serve the rest lost their credits and were benched, and others
        were refused for want of room.)  What may not be repeated is spared all that fails."""
        common = min(t.fails.values(), default=0.0) if inv.op.effect is not Effect.NON_IDEMPOTENT else 0.0
        part = max(t.fails.get(inv.op, 0.0), t.fails.get(inv.customer.plan, 0.0))
        return max(0.0, min(MOST_APART, part - common))

    def judge(self, t, result, known):
        """The sequential test: outcomes speak for a sick backend or a sound one until one side has it.  What
        is lost or spoilt at all backends alike is expected of each; refused connections never are."""
        self.failed += SHARED * ((result is not Result.SUCCEEDED) - self.failed)
        shared = min(MOST_SHARED, self.failed) if result is not Result.UNREACHABLE else 0.0
        sick = min(0.99, ERROR_SICK + (expected := max(ERROR_EXPECTED, shared, known)))
        if result is not Result.SUCCEEDED:
            t.sick += math.log(sick / expected)
        else:
            t.sick = max(0.0, t.sick + math.log((1 - sick) / (1 - expected)))
            t.benched = t.benched if t.sick else 0
        if t.sick >= SICK_AT and t.bench <= self.now:
            sick = self.pool.benched() + 1
            if result is Result.UNREACHABLE or sick <= max(1, MOST_BENCHED * self.pool.reach):
                t.bench = self.now + min(LONGEST_BENCH, BENCH << t.benched)
                t.benched += 1
                self.pool.resize(t, LEAST_ROOM / self.pool.sharers())
                t.sick = SICK_AT - 1
                self.fill()
                yield Log("backend benched by its outcomes", t)

    def value(self, inv):
        return inv.customer.plan.price * inv.op.worth * inv.customer.allowed()

    def gap(self, op, out):
        """Mean time between answers with so many deliveries out."""
        return int(self.times.mean(0.2) * op.objective / out)

    # The rules: each send passes `deliver`, each answer `close` or `refuse`.

    def may_repeat(self, inv):
        """Rule 2, without a backend in view."""
        ran = [d for d in inv.deliveries if d.may_have_run]
        out = any(d.result is None for d in ran) and not self.settings["second_copies"]
        if out or len(inv.deliveries) >= self.settings["most_deliveries"]:
            return False
        return not (ran and inv.op.effect is Effect.NON_IDEMPOTENT) and self.now < self.begin_by(inv)

    def begin_by(self, inv):
        """A further delivery has to begin while backends remember the first; it may wait for a connection."""
        ran = [d.sent for d in inv.deliveries if d.may_have_run and inv.op.effect is Effect.TOKENED]
        return min([inv.until, *(sent + inv.op.memory - self.settings["tick"] for sent in ran)])

    def may_go(self, inv):
        """Rules 1, 2 and 5, without a backend in view."""
        if inv.done or self.now >= inv.until or not self.may_repeat(inv):
            return False
        acc = inv.customer
        return bool(inv.deliveries) or not acc.plan.ceiling_rate or self.ceiling_share(acc) >= inv.units

    def may_take(self, inv, t):
        """Rules 2, 3 and 4 for one backend."""
        if t.state is not State.READY:
            return False
        if inv.deliveries and inv.op.effect is Effect.TOKENED and inv.op.scope is not Scope.ALL:
            for d in inv.deliveries:
                if d.may_have_run and (d.backend.zone != t.zone if inv.op.scope is Scope.ZONE
                                       else d.backend.group != t.group):
                    return False
        return not self.cold(t) or self.cold_room(t)

    def may_send(self, inv, t):
        return self.may_go(inv) and self.may_take(inv, t)

    def deliver(self, inv, t, until):
        """The one way to a backend: all five rules are kept here."""
        if not self.may_send(inv, t):
            return False
        if not inv.deliveries:
            inv.customer.share -= inv.units
            if self.news and inv.customer.plan.rate:
                self.news.let_in(self.key(inv.customer), inv.customer.plan.number, inv.units)
        if inv in self.waiting:
            self.waiting.remove(inv)
        self.pool.spend(t)
        t.sent, t.luck = t.sent + self.cold(t), False
        if (width := self.pool.wants_width(self.now)) is not None:
            self.pool.width = width
            self.fill()
        d = Delivery(inv, t, self.now, until, len(inv.deliveries), self.begin_by(inv))
        inv.deliveries.append(d)
        yield Deliver(d)
        return True

    def cold(self, t):
        return t.started is not None and self.now - t.started < self.settings["cold"]

    def part(self, t):
        """The part of its capacity that a backend must have reached."""
        s = self.settings
        grown = max(0, self.now - t.started) / s["cold"] if self.cold(t) else 1.0
        return s["cold_from"] + (1 - s["cold_from"]) * grown

    def cold_room(self, t):
        """Whether a cold backend may get one more.  What this gateway gets answered by a warm backend is its
        share of what that can do; a cold one gets that share of the part of it that it must by now reach:
        counted in each quarter span, of which any span meets five at most, or, where that is less than one,
        drawn for each pick, so that the sum over any number of gateways holds.  COLD_MARGIN and COLD_CHANCE
        leave room for that and for chance."""
        s = self.settings
        if not t.pooled:        # others' parts would come on top of those of the gateways that keep to it
            return False
        quarter = max(1, s["fall"] // 4)
        if (slot := (self.now - t.started) // quarter) != t.slot:
            warm = sum(not self.cold(o) for o in self.pool.reached())
            spans = max(SECOND, self.now - self.answers_from) / quarter
            most = s["fall_multiple"] * self.part(t) * self.answers / spans / max(1, warm)
            t.slot, t.sent, t.most = slot, 0, int(COLD_MARGIN * most + self.rng.random())
            # With nothing answered yet, one from all gateways together.
            few = max(COLD_CHANCE * most, 1 / s["gateways"])
            t.chance = few / max(1.0, self.picks / spans) if COLD_MARGIN * most < 1 else None
        if t.full and t.out:    # full by its own report: one at a time
            return False
        if t.chance is None:
            return t.sent < t.most
        if t.drawn != self.now:
            t.drawn, t.luck = self.now, self.rng.random() < t.chance
        return t.luck

    def close(self, inv):
        """Give up: throttled where that promise holds, else errored."""
        if inv.op.repeats_anywhere or not any(d.may_have_run for d in inv.deliveries):
            yield from self.refuse(inv, self.after(inv))
        elif not inv.done:
            yield Fail(inv)

    def refuse(self, inv, wait):
        if not inv.done:
            yield Throttle(inv, wait)
