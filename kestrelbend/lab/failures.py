"""The schedule of failures: each kind of a scenario file acts on the world at its start and is undone at its
end."""

from __future__ import annotations

from functools import singledispatch

from . import scenario as s


def schedule(world):
    for failure in world.scenario.failures:
        world.clock.at(world.began + failure.at, begin, world, failure)


def begin(world, failure):
    """Start it, note it for the report, and have it undone."""
    undo = act(failure, world)
    world.tally.mark(text(failure))
    if undo is not None:
        world.clock.at(world.began + failure.ends(), finish, world, failure, undo)


def finish(world, failure, undo):
    undo()
    world.tally.mark(f"end of {text(failure)}")


def text(failure):
    return failure.__struct_config__.tag


def some(world, things, share, name):
    """A part of the things, drawn; the same for the same seed."""
    count = round(share * len(things))
    return [things[at] for at in world.streams.of(name).permutation(len(things))[:count]]


@singledispatch
def act(failure, world):
    raise TypeError(f"not a failure: {failure!r}")


# Gateways.


@act.register
def _(f: s.Kill, world):
    for index in some(world, world.plant.running(), f.share, f"kill {f.at}"):
        world.plant.kill(index)
        world.clock.after(f.down, world.plant.start, index)


@act.register
def _(f: s.Roll, world):
    indexes = some(world, world.plant.running(), f.share, f"roll {f.at}")
    for step in range(f.steps):
        world.clock.after(f.lasts * step // f.steps, restart, world, indexes[step :: f.steps])


def restart(world, indexes):
    for index in indexes:
        world.plant.stop(index, lambda index=index: world.plant.start(index))


@act.register
def _(f: s.Pause, world):
    indexes = some(world, world.plant.running(), f.share, f"pause {f.at}")
    for index in indexes:
        world.plant.pause(index, True)

    def undo():
        for index in indexes:
            world.plant.pause(index, False)

    return undo


@act.register
def _(f: s.Clocks, world):
    for index in some(world, list(range(len(world.plant.steps))), f.share, f"clocks {f.at}"):
        world.plant.steps[index] += f.by


# Zones and the network.


@act.register
def _(f: s.ZoneLoss, world):
    lost = [b for b in world.backends if b.zone == f.zone and b.up]
    for backend in lost:
        world.take_down(backend, silent=True, tell=False)
    gone = []
    if f.gateways:
        gone = [n for n in world.plant.running() if world.plant.parties[n].zone == f.zone]
        for index in gone:
            world.plant.kill(index)

    def undo():
        for backend in lost:
            world.bring_up(backend)
        for index in gone:
            world.plant.start(index)

    return undo


@act.register
def _(f: s.Lost, world):
    lost = [b for b in some(world, world.backends, f.share, f"lost backends {f.at}") if b.up]
    for backend in lost:
        world.take_down(backend, silent=True, tell=False)

    def undo():
        for backend in lost:
            world.bring_up(backend)

    return undo


@act.register
def _(f: s.Cut, world):
    cut = (f.one, f.other, f.both_ways)
    world.network.cuts.append(cut)
    return lambda: world.network.cuts.remove(cut)


@act.register
def _(f: s.LateLists, world):
    world.discovery.extra += f.delay

    def undo():
        world.discovery.extra -= f.delay

    return undo


# Backends.


def troubled(world, share, name, **faults):
    """Set fields of the trouble of some backends; what undoes it."""
    hit = some(world, world.backends, share, name)
    for backend in hit:
        for field, value in faults.items():
            setattr(backend.trouble, field, value)

    def undo():
        for backend in hit:
            usual = type(backend.trouble)()
            for field in faults:
                setattr(backend.trouble, field, getattr(usual, field))

    return undo


@act.register
def _(f: s.LostAnswers, world):
    return troubled(world, f.share, f"lost answers {f.at}", lost=f.part, lost_how=f.how)


@act.register
def _(f: s.Resets, world):
    return troubled(world, 1.0, f"resets {f.at}", resets=f.part)


@act.register
def _(f: s.Spoilt, world):
    return troubled(world, 1.0, f"spoilt {f.at}", spoilt=f.part)


@act.register
def _(f: s.Slow, world):
    return troubled(world, f.share, f"slow {f.at}", slow=f.factor)


@act.register
def _(f: s.Failing, world):
    return troubled(world, f.share, f"failing {f.at}", failing=f.part, failing_takes=f.takes)


@act.register
def _(f: s.Release, world):
    hit = some(world, world.backends, f.share, f"release {f.at}")
    for step in range(f.steps):
        world.clock.after(f.lasts * step // f.steps, release, world, f, hit[step :: f.steps])


def release(world, f, batch):
    for backend in batch:
        world.drain(backend)
    world.clock.after(f.drain, stopped, world, f, batch)


def stopped(world, f, batch):
    for backend in batch:
        world.take_down(backend)
    world.clock.after(f.down, lambda: [world.bring_up(backend, f.renewed) for backend in batch])


# The counter.


@act.register
def _(f: s.CounterTrouble, world):
    counter = world.counter
    if f.how in ("slow", "crowded"):
        counter.factor *= f.factor

        def undo():
            counter.factor /= f.factor
    elif f.how == "split":
        counter.part_ways()
        undo = counter.join
    else:
        counter.lose()

        def undo():
            counter.back(f.how == "emptied")

    return undo


# Clients.


@act.register
def _(f: s.Storm, world):
    world.clients.storms[f.plan] = f
    return lambda: world.clients.storms.pop(f.plan, None)


@act.register
def _(f: s.Flood, world):
    customers = world.clients.customers[f.plan]
    hit = customers[: f.customers] if f.customers else customers
    plan = customers[0].plan
    usual = world.scenario.load * (plan.asks or 1.0) * plan.asked() / (sum(plan.units) / 2)
    group = world.clients.flood(hit, (f.factor - 1) * usual * len(hit) + 1e-9)

    def undo():
        group.pace = 0.0

    return undo


@act.register
def _(f: s.Burst, world):
    world.clients.burst *= f.factor

    def undo():
        world.clients.burst /= f.factor

    return undo


@act.register
def _(f: s.Shift, world):
    everyone = [c for customers in world.clients.customers.values() for c in customers]
    for customer in some(world, everyone, f.share, f"shift {f.at}"):
        customer.shifts += 1
