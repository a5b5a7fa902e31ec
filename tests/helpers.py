"""A stand-in front end: one instance on the wire's host, fed by hand, its replies read back as tuples."""
from kestrelbend import terms
from kestrelbend.benchlink import codec
from kestrelbend.benchlink.host import Instance
from kestrelbend.interface import Result

MS = 1000
BASE = {
    "classes.count": 1, "classes.0.name": "op", "classes.0.effect": "idempotent", "classes.0.keyScope": "all",
    "classes.0.keyTtl": 2000, "classes.0.objective": 1000, "classes.0.deadline": 3000,
    "contracts.count": 1, "contracts.0.name": "plan", "contracts.0.refill": 2, "contracts.0.storeSize": 6,
    "familyInfo.mayCount": "true", "familyInfo.countWait": 30, "index": 0, "instances": 2, "myZone": "a",
    "policyLimits.cancelling": "true", "policyLimits.mayDuplicate": "true", "policyLimits.tryLimit": 3,
    "tick": 1, "rules.cold": 10000, "rules.coldFrom": 0.2, "rules.fall": 2000, "rules.fallMultiple": 2,
    "rules.askWithin": 8000, "discovery": "automatic",
}


class Front:
    def __init__(self, now=1_000_000 * MS, seed=7, **changes):
        pairs = {**BASE, **{key.replace("__", "."): value for key, value in changes.items()}}
        self.now, self.out = now, []
        self.inst = Instance("g/0", seed, terms.settings({k: str(v) for k, v in pairs.items()}), now,
                             self.out)
        self.gateway = self.inst.gateway

    def tell(self, message, *values):
        self.inst.out, self.gateway.now = self.out, self.now
        getattr(self.inst, message)(*values)

    def roster(self, *entries, kind="whole"):
        """Entries are (id, state) or (id, state, started)."""
        rows = [(e[0], "ab"[e[0] % 2], "k", e[0] // 2, e[1], 1.0, e[2] if len(e) > 2 else 0) for e in entries]
        self.tell("roster_change", rows, 1, kind, len(rows))

    def accept(self, number, left=3000, units=1.0, spread=2, retry=False, customer="c"):
        self.tell("accept", [], number, "op", "plan", customer, self.now + left * MS, units, spread, 0,
                  codec.RETRY_FLAG if retry else 0)
        return self.inst.invs.get(number)

    def returned(self, number, trial, result, took=100, ended=None, actual=0):
        ended = result is Result.SUCCEEDED if ended is None else ended
        self.tell("returned", [], number, trial, None, result, took * MS, ended, 0, actual, None)

    def counted(self, name, total=0.0, result=Result.SUCCEEDED):
        self.tell("counter_reply", [], name, 2 * MS, result, total)

    def take(self, *messages):
        """Wire lines written since the last call, split, of these messages."""
        lines = [line.split() for line in self.out]
        self.out.clear()
        return [line for line in lines if not messages or line[0] in messages]

    def answer_counts(self, store=None, result=Result.SUCCEEDED):
        """Answer each call to the counter service from `store`; returns the other lines."""
        rest, store = [], {} if store is None else store
        while lines := self.take():
            for line in lines:
                if line[0] == "incr":
                    assert self.inst.settings["may_count"]
                    name = int(line[4])
                    store[name] = store.get(name, 0.0) + float(line[2])
                    self.counted(name, store[name], result)
                else:
                    rest.append(line)
        return rest

    def pass_time(self, ms):
        """Go on to the next reminder due within `ms`, or by `ms` if there is none."""
        due = min([due for _, due in self.inst.alarms.values()], default=self.now + ms * MS)
        self.now = self.gateway.now = max(self.now, min(due, self.now + ms * MS))
        for handle, (_, due) in list(self.inst.alarms.items()):
            if due <= self.now:
                self.tell("reminder", [], handle)
