"""The simulated plant: gateways that run the real `Host` and `kestrelbend.gateway.decisions`, and the wire
between all parties.

A gateway has a life from each start to its death.  All that happens to it passes its inbox (`post`), where it
waits while the gateway stands still or its processor is busy.
"""

from __future__ import annotations

from collections import deque

from ..gateway.settings.platform import flatten, settings
from ..gateway.singleton_tasks import probes_shared
from ..gateway.hosting import Host
from ..gateway.interface import Invocation, Result, EndpointState
from .backends import Job
from .clock import Stuck
from .counter import TURNED_AWAY
from .network import Party
from .settings import stated

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
RESULTS = {
    "succeeded": Result.SUCCEEDED,
    "errored": Result.ERRORED,
    "rejected": Result.REJECTED,
    "broken": Result.BROKEN,
    "spoilt": Result.BROKEN,
}
LOADS = {"queue": "queued", "inflight": "held", "util": "busy"}
PAUSES = 100_000  # effects of one generator without a pause before it is taken for stuck
LINGER = 300_000  # microseconds in which a gateway told to leave still takes what comes
SWEEP = 1_000_000  # between looks for idle connections


class Pool:
    """The kept connections of one gateway to one backend."""

    __slots__ = ("life", "idle", "open")

    def __init__(self, life):
        self.life, self.idle, self.open = life, deque(), 0


class Life(Host):
    """One life of a gateway."""

    def __init__(self, plant, index, number, known):
        world = plant.world
        if plant.module is not None:
            self.gateway_type = plant.module
        settings = plant.settings(index)
        members = world.scenario.members
        self.shares = probes_shared(settings, members is not None and members.share_probes)
        settings["may_probe"] = settings["may_probe"] and not self.shares
        super().__init__(settings, plant.seed(index, number), plant.time(index))
        self.plant, self.world, self.index, self.number = plant, world, index, number
        self.party, self.clock = plant.parties[index], world.clock
        self.tries, self.invs, self.pools, self.sending = {}, {}, {}, {}
        self.agent, self.draining = world.discovery.agents[index], False
        self.member = None
        self.endpoints_listed(rows(known, self), True)
        self.start()

    def run(self, task, value=None):
        """As the host does, but a generator that never pauses ends the run with its name."""
        if type(task.generator) is not Watched:
            task.generator = Watched(task.generator)
        task.generator.steps = 0
        super().run(task, value)

    # Events: each comes by the plant's `post`, which sets the time.

    def taken(self, asking, came):
        op, customer = self.operations[asking.request.op.name], asking.request.customer
        acc = self.customer_state(customer.plan.name, customer.name, customer.spread)
        until = self.plant.time(self.index) + asking.until - self.clock.now
        inv = Invocation(
            op, acc, came + self.plant.offsets[self.index], until, asking.request.units, asking.retry
        )
        self.tries[inv], self.invs[asking.number] = asking, inv
        self.start_invocation(inv)

    def client_left(self, asking):
        inv = self.invs.get(asking.number)
        if inv is not None:
            if self.clock.now < asking.until:  # else an answer was due by then
                self.world.oracle.left(asking.number)
            self.client_disconnected(inv)

    def delivered(self, d, result, took, load=None):
        sending = self.sending.pop(d, None)
        if sending is None:
            return
        final = result is Result.SUCCEEDED and not d.inv.done
        asking = self.tries.get(d.inv)
        self.world.oracle.ended(asking.number, sending.send, RULED.get(result, "may have run"))
        if final:
            self.answer(asking, "succeeded")
        self.release(sending)
        self.delivery_ended(d, result, took, final, load, 0)

    # Effects.

    def deliver(self, d):
        asking, backend = self.tries[d.inv], self.world.by_uid[self.backend_ids[d.backend]]
        sending = self.sending[d] = Sending(d, asking, backend)
        sending.send = self.world.oracle.sent(asking.number, backend, self)
        self.world.tally.sent(asking, not asking.sends)
        asking.sends += 1
        self.world.tally.out(asking.request.customer, 1)
        sending.timer = self.clock.after(max(0, d.deadline - self.gateway.now), self.expired, d)
        self.connect(sending)

    def connect(self, sending):
        """On a kept connection, or on a new one, which costs a way there and back first."""
        backend, network, terms = sending.backend, self.world.network, self.world.scenario
        pool = self.pools.get(backend)
        if pool is None or pool.life != backend.life:
            pool = self.pools[backend] = Pool(backend.life)
        if pool.idle:
            pool.idle.pop()
            network.send(self.party, backend.party, self.arrives, sending, False)
        elif not network.open(self.party, backend.party) or not network.open(backend.party, self.party):
            sending.connecting = self.clock.after(terms.network.connect_timeout, self.fails, sending)
        elif not backend.up or backend.open >= terms.backends.connections:
            self.clock.after(2 * network.delay(self.party, backend.party), self.fails, sending)
        else:
            backend.open, pool.open = backend.open + 1, pool.open + 1
            self.world.tally.connected()
            trip = sum(network.delay(self.party, backend.party) for _ in range(3))
            self.clock.after(trip, self.arrives, sending, True)
        sending.pool = pool

    def fails(self, sending):
        """No connection."""
        sending.pool = None
        self.post(self.delivered, sending.d, Result.UNREACHABLE, self.clock.now - sending.at)

    def arrives(self, sending, first):
        if sending.over:
            return
        sending.reached = True
        work = self.world.work(sending.asking)
        sending.job = Job(sending.asking.number, work, lambda outcome: self.back(sending, outcome), first)
        sending.backend.arrive(sending.job)

    def back(self, sending, outcome):
        """The backend's answer sets out; silence never does."""
        if outcome == "silence" or sending.over:
            return
        backend = sending.backend
        sending.ruined = outcome in ("broken", "spoilt")
        tells = self.world.scenario.backends.reports == "answers" and not sending.ruined
        load = loads(backend) if tells else None
        self.world.network.send(
            backend.party,
            self.party,
            self.post,
            self.delivered,
            sending.d,
            RESULTS[outcome],
            self.clock.now - sending.at,
            load,
        )

    def expired(self, d):
        """Its time is up."""
        sending = self.sending.get(d)
        if sending is not None:
            self.give_up(sending, Result.TIMED_OUT if sending.reached else Result.UNREACHABLE)

    def cancel(self, d):
        sending = self.sending.get(d)
        if sending is not None:
            self.give_up(sending, Result.CANCELLED)

    def give_up(self, sending, result):
        """Its connection is given up with it."""
        sending.ruined = True
        if sending.job is not None:
            sending.backend.cancel(sending.job)
        self.post(self.delivered, sending.d, result, self.clock.now - sending.at)

    def release(self, sending):
        """The delivery is over for this gateway; its connection is kept, or was given up."""
        sending.over = True
        self.clock.cancel(sending.timer)
        self.world.tally.out(sending.asking.request.customer, -1)
        pool, backend = sending.pool, sending.backend
        if pool is None or pool.life != backend.life:
            return
        if sending.ruined or not sending.reached:
            pool.open, backend.open = pool.open - 1, backend.open - 1
        else:
            pool.idle.append(self.clock.now)

    def sweep(self):
        """Connections idle for long are closed."""
        before = self.clock.now - self.world.scenario.backends.idle_close + 500_000
        for backend, pool in self.pools.items():
            while pool.idle and pool.idle[0] < before:
                pool.idle.popleft()
                pool.open -= 1
                if pool.life == backend.life:
                    backend.open -= 1

    def throttle(self, inv, retry_after):
        self.answer(self.tries[inv], "throttled", retry_after)

    def fail(self, inv):
        self.answer(self.tries[inv], "errored")

    def answer(self, asking, what, retry_after=0):
        clients = self.world.clients
        self.world.oracle.answered(asking.number, what)
        self.world.network.send(self.party, clients.party, clients.answered, asking, what, retry_after)

    def set_timer(self, task, until):
        return self.clock.after(max(0, until - self.gateway.now), self.ring, task, until)

    def ring(self, task, until):
        self.post(self.rung, task, until)

    def rung(self, task, until):
        if task.timer is not None and task.timer[2] is not None and self.gateway.now >= until:
            self.run(task)

    def cancel_timer(self, alarm):
        self.clock.cancel(alarm)

    def count(self, name, add, life):
        """The call ends by an answer or by the time that this gateway waits for one, whichever is first."""
        counter, network = self.world.counter, self.world.network
        call = Call(name)
        call.timer = self.clock.after(self.gateway.counter.timeout, self.uncounted, call)
        if counter is not None and network.open(self.party, counter.party):
            self.clock.after(
                network.delay(self.party, counter.party),
                counter.call,
                name,
                add,
                life,
                lambda total: self.total(call, total),
                self.party.zone,
            )

    def total(self, call, total):
        counter = self.world.counter
        self.world.network.send(counter.party, self.party, self.post, self.heard, call, total)

    def heard(self, call, total):
        if not call.over:
            call.over = True
            self.clock.cancel(call.timer)
            result = Result.REJECTED if total == TURNED_AWAY else Result.SUCCEEDED
            self.world.tally.called("turned away" if total == TURNED_AWAY else "answered")
            self.counter_replied(call.name, result, 0.0 if total == TURNED_AWAY else total)

    def uncounted(self, call):
        self.post(self.unheard, call)

    def unheard(self, call):
        if not call.over:
            call.over = True
            self.world.tally.called("unanswered")
            self.counter_replied(call.name, Result.TIMED_OUT, 0.0)

    def probe(self, target):
        self.world.tally.probed()
        backend, network = self.world.by_uid[self.backend_ids[target]], self.world.network
        wait = self.world.scenario.network.connect_timeout
        if not network.open(self.party, backend.party) or not network.open(backend.party, self.party):
            self.clock.after(wait, self.post, self.probed, target, Result.UNREACHABLE, wait, None)
            return
        trip = 2 * network.delay(self.party, backend.party) + self.world.scenario.backends.probe
        if not backend.up or backend.fallen:
            self.clock.after(trip, self.post, self.probed, target, Result.UNREACHABLE, trip, None)
            return
        load = loads(backend) if self.world.scenario.backends.reports != "none" else None
        self.clock.after(trip, self.post, self.probed, target, Result.SUCCEEDED, trip, load)

    def subscribe(self):
        pass

    def probed(self, backend, result, took, load):
        super().probed(backend, result, took, load)
        if self.shares:
            self.gateway.background.load_reported(backend, load)
            self.member.probed(backend, load)

    def log(self, text, about):
        self.world.tally.counts[f"log: {text}"] += 1

    def released(self, inv):
        asking = self.tries.pop(inv, None)
        if asking is not None:
            self.invs.pop(asking.number, None)

    def post(self, call, *args):
        self.plant.post(self, call, *args)

    def told(self, entries, whole):
        """The agent on its machine has news."""
        self.post(self.list, entries, whole)

    def list(self, entries, whole):
        self.endpoints_listed(rows(entries, self), whole)

    def taken_early(self, asking, came):
        """What came while the gateway was being loaded: its time ran all along."""
        if not asking.over:
            asking.life = self
            self.world.oracle.took(asking, self.index, self)
            self.taken(asking, came)


RULED = {
    Result.SUCCEEDED: "succeeded",
    Result.REJECTED: "rejected",
    Result.UNREACHABLE: "unreachable",
    Result.VOID: "void",
}


class Watched:
    """A generator of the module, counted between its pauses."""

    __slots__ = ("work", "steps")

    def __init__(self, work):
        self.work, self.steps = work, 0

    def send(self, value):
        self.steps += 1
        if self.steps > PAUSES:
            at = f"{self.work.__qualname__}, line {self.work.gi_frame.f_lineno}"
            raise Stuck(f"{self.steps} effects without a pause: {at}")
        return self.work.send(value)


class Call:
    __slots__ = ("name", "timer", "over")

    def __init__(self, name):
        self.name, self.timer, self.over = name, None, False


class Sending:
    """A delivery on its way: whether it reached its backend, and what its connection has come to."""

    __slots__ = (
        "d",
        "asking",
        "backend",
        "at",
        "send",
        "timer",
        "connecting",
        "pool",
        "job",
        "reached",
        "ruined",
        "over",
    )

    def __init__(self, d, asking, backend):
        self.d, self.asking, self.backend, self.at = d, asking, backend, backend.clock.now
        self.send = self.timer = self.connecting = self.pool = self.job = None
        self.reached = self.ruined = self.over = False


def rows(entries, life):
    """Discovery's entries as `Host.listing` takes them; the oracle hears what the gateway is told."""
    made = []
    for entry in entries:
        life.world.oracle.listed(life, entry.uid, entry.state)
        made.append(
            (entry.uid, entry.zone, "", entry.group, STATES[entry.state], entry.weight, entry.started)
        )
    return made


def loads(backend):
    """Its report in the module's words."""
    return {LOADS[name]: value for name, value in backend.report().items()}


class SimPlant:
    """All gateways in simulated time."""

    module = None  # a policy in place of the module

    def __init__(self, world):
        self.world, self.clock, self.fleet = world, world.clock, world.scenario.fleet
        zones = self.fleet.zones
        self.parties = [Party("gateways", zones[n % len(zones)]) for n in range(self.fleet.gateways)]
        self.lives, self.numbers = [None] * self.fleet.gateways, [0] * self.fleet.gateways
        self.starting = [False] * self.fleet.gateways
        self.still, self.busy = [False] * self.fleet.gateways, [0] * self.fleet.gateways
        self.inboxes = [deque() for _ in range(self.fleet.gateways)]
        self.offsets, self.steps = [0] * self.fleet.gateways, [0] * self.fleet.gateways
        self.late = 0
        self.told = settings(dict(flatten(stated(world.scenario, 0))))

    # What a life is made of.

    def settings(self, index):
        """All gateways are told the same but for their number and zone."""
        return {**self.told, "gateway": index, "zone": self.parties[index].zone}

    def seed(self, index, number):
        return int(self.world.streams.of(f"gateway {index} life {number}").integers(0, 2**62))

    def time(self, index):
        return self.clock.now + self.offsets[index]

    # Lives.

    def begin(self):
        for index in range(self.fleet.gateways):
            self.world.discovery.agent(index, self.parties[index])
            self.serve(index)
        self.clock.after(SWEEP, self.sweep)

    def sweep(self):
        for life in self.lives:
            if life is not None:
                life.sweep()
        self.world.oracle.overdue()
        self.clock.after(SWEEP, self.sweep)

    def start(self, index):
        """A gateway's process starts; it serves after a while, and what comes meanwhile waits."""
        if self.lives[index] is None and not self.starting[index]:
            self.starting[index] = True
            self.clock.after(self.fleet.starts_in, self.serve, index)

    def serve(self, index):
        self.starting[index], self.offsets[index] = False, self.steps[index]
        self.numbers[index] += 1
        agent = self.world.discovery.agents[index]
        life = self.lives[index] = Life(self, index, self.numbers[index], list(agent.entries.values()))
        if self.world.scenario.members is not None:
            from .members import Attached

            life.member = Attached(life)
        agent.told = life.told
        self.world.clients.front.serving(index)
        waiting, self.inboxes[index] = self.inboxes[index], deque()
        for call, args in waiting:
            self.post(life, getattr(life, call), *args)

    def kill(self, index):
        life = self.lives[index]
        if life is None:
            return
        self.lives[index], life.agent.told = None, None
        self.still[index] = False
        self.inboxes[index].clear()
        self.world.oracle.died(index, life)
        for sending in list(life.sending.values()):
            self.clock.cancel(sending.timer)
            sending.over = True
            self.world.tally.out(sending.asking.request.customer, -1)
            if sending.job is not None:
                sending.backend.cancel(sending.job)
        for backend, pool in life.pools.items():
            if pool.life == backend.life:
                backend.open -= pool.open
        self.world.clients.front.died(index)
        for asking in list(life.tries.values()):  # their connections are reset
            self.clock.after(1, self.world.clients.unreachable, asking)

    def stop(self, index, after):
        """SIGTERM: the front is told by its health, what came is answered, then it ends; `after` is
        called."""
        life = self.lives[index]
        if life is None:
            after()
            return
        life.draining = True
        self.clock.after(LINGER, self.world.clients.front.left, index)
        self.clock.after(2 * LINGER, self.ending, life, after, self.clock.now + 4_000_000)

    def ending(self, life, after, until):
        if self.lives[life.index] is not life:
            return
        if life.tries and self.clock.now < until:
            self.clock.after(50_000, self.ending, life, after, until)
            return
        self.world.oracle.overdue()
        self.kill(life.index)
        after()

    def pause(self, index, still):
        self.world.oracle.paused(index, still)
        self.still[index] = still
        if not still and self.lives[index] is not None:
            waiting, self.inboxes[index] = self.inboxes[index], deque()
            for call, args in waiting:
                self.post(self.lives[index], call, *args)

    def serves(self, index):
        return self.lives[index] is not None and not self.lives[index].draining

    def running(self):
        return [index for index, life in enumerate(self.lives) if life is not None]

    # Events.

    def post(self, life, call, *args):
        """Something for a gateway: at once, when its processor is free, or when it goes on."""
        index = life.index
        if self.lives[index] is not life:
            return
        if self.still[index]:
            self.inboxes[index].append((call, args))
            return
        if not self.fleet.cpu:
            life.gateway.now = self.clock.now + self.offsets[index]
            call(*args)
            return
        begins = max(self.clock.now, self.busy[index])
        self.busy[index] = begins + self.fleet.cpu
        self.late = max(self.late, begins - self.clock.now)
        self.clock.at(self.busy[index], self.handle, life, call, args)

    def handle(self, life, call, args):
        if self.lives[life.index] is not life:
            return
        if self.still[life.index]:
            self.inboxes[life.index].append((call, args))
            return
        life.gateway.now = self.clock.now + self.offsets[life.index]
        call(*args)

    # Clients.

    def ask(self, asking):
        world = self.world
        if not world.network.send(world.clients.party, self.parties[asking.gateway], self.arrive, asking):
            return  # lost on the way: its client waits for nothing

    def arrive(self, asking):
        index, life = asking.gateway, self.lives[asking.gateway]
        if asking.over:
            return
        if life is None:
            if self.starting[index]:  # its machine takes connections already
                self.inboxes[index].append(("taken_early", (asking, self.clock.now)))
                return
            trip = self.world.network.delay(self.parties[index], self.world.clients.party)
            self.clock.after(trip, self.world.clients.unreachable, asking)
            return
        asking.life = life
        self.world.oracle.took(asking, index, life)
        self.post(life, life.taken, asking, self.clock.now)

    def left(self, asking):
        life = asking.life
        if life is not None and self.lives[asking.gateway] is life:
            self.world.network.send(
                self.world.clients.party,
                self.parties[asking.gateway],
                self.post,
                life,
                life.client_left,
                asking,
            )
