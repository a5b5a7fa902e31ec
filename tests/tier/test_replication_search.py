"""Random faults of machines, links and disks by seed: the invariants hold, and the shard recovers afterwards.

`python -m tests.tier.test_replication_search FIRST LAST` runs seeds; each failure names its own.
"""

import sys

import testtools

from kestrelbend.tier.replication import Timing
from tests.tier.replication_harness import Cluster

SEEDS = 200
SHORT_TIMEOUTS = Timing(  # more elections and snapshots in the same time
    heartbeat=0.04,
    election_timeout=0.2,
    rank_step=0.04,
    leader_stickiness=0.12,
    pre_vote_interval=0.06,
    pre_vote_backoff=0.1,
    reply_timeout=0.12,
    disk_stall=0.5,
    snapshot_retry=0.3,
    tail_entries=0,
)
FAULT_PHASE_S = 4.0
COMPACTION_CHANCE = 0.1
RECOVERY_S = 2.0  # after the last fault is repaired, until a command must be committed


class FaultInjectionRun:
    """The run of one seed: at every tick a fault may be injected or repaired."""

    def __init__(self, seed):
        names = "abcde" if seed % 3 == 0 else "abc"
        others = "xy" if seed % 2 else ""
        timing = SHORT_TIMEOUTS if seed % 5 else Timing()
        self.cluster = Cluster(names, others, seed, timing)
        self.random = self.cluster.random
        self.erased_disks = 0
        self.proposed = 0
        self.fault_probability = self.random.choice((0.05, 0.15, 0.4))
        self.cluster.links.loss = self.random.choice((0.0, 0.02, 0.2))
        self.cluster.links.duplication = self.random.choice((0.0, 0.1))
        self.cluster.links.delay_jitter = self.random.choice((0.0, 0.01, 0.15))
        for node in self.cluster.nodes.values():
            node.disk_delay = self.random.choice((0.001, 0.01, 0.1, 0.25))

    def run(self):
        self.cluster.run(self.random.choice((0.3, 1.0)))
        end = self.cluster.now + FAULT_PHASE_S
        while self.cluster.now < end:
            if self.random.random() < self.fault_probability:
                self.inject_or_repair_fault()
            self.submit_commands()
            self.cluster.run(0.02)
        self.check_progress()
        self.check_group()

    def submit_commands(self):
        node = self.random.choice(list(self.cluster.nodes.values()))
        if node.is_running and self.random.random() < COMPACTION_CHANCE:
            self.cluster.compact(node.name)
            self.cluster.checkpoint(node.name)
        if node.is_running and node.replica.is_leader:
            for _ in range(self.random.choice((0, 1, 5))):
                self.proposed += 1
                self.cluster.propose(b"command %d" % self.proposed, node)
            self.cluster.confirm_read(node)

    def inject_or_repair_fault(self):
        """Injects a fault at a random machine, or repairs one."""
        cluster = self.cluster
        node = self.random.choice([*cluster.nodes.values(), cluster.leader() or cluster.nodes["a"]])
        name = node.name
        if node.replica is None:
            cluster.start(name)
        elif node.frozen:
            cluster.thaw(name)
        elif node.stalled:
            cluster.resume_disk(name)
        elif cluster.links.cut and self.random.random() < 0.5:
            cluster.heal()
        else:
            self.inject_fault(name)

    def inject_fault(self, name):
        cluster = self.cluster
        kinds = (
            "lose_power",
            "restart",
            "restart",
            "restart",
            "freeze",
            "stall",
            "isolate",
            "cut",
            "transfer",
            "set_target",
            "set_target",
        )
        kind = self.random.choice((*kinds, "lose_all_power", "erase_disk"))
        if kind == "lose_power":
            cluster.lose_power(name)
        elif kind == "restart":
            cluster.lose_power(name)
            cluster.start(name)
        elif kind == "freeze":
            cluster.freeze(name)
        elif kind == "stall":
            cluster.stall_disk(name)
        elif kind == "isolate":
            cluster.isolate(name)
        elif kind == "cut":
            cluster.cut(name, self.random.choice(list(cluster.nodes)))
        elif kind == "transfer" and cluster.leader():
            cluster.transfer()
        elif kind == "set_target":
            self.set_target()
        elif kind == "lose_all_power":
            self.lose_all_power()
        elif kind == "erase_disk":
            self.erase_disk(name)

    def lose_all_power(self):
        """All machines lose power and restart; sometimes one disk is erased as well."""
        names = list(self.cluster.nodes)
        self.cluster.lose_power(*names)
        if self.random.random() < 0.5:
            self.erase_disk(self.random.choice(names))
        for name in names:
            self.cluster.start(name)

    def erase_disk(self, name):
        """Erases a disk, at most once in a run: the group may not have replaced the first one yet."""
        if self.erased_disks == 0:
            self.erased_disks += 1
            self.cluster.erase_disk(name)
            self.cluster.start(name)

    def set_target(self):
        names = list(self.cluster.nodes)
        self.random.shuffle(names)
        self.cluster.set_target(names[: self.random.choice((3, 3, 4, 5))])

    def repair_all(self):
        """Starts all machines and repairs links and disks; erased disks stay erased."""
        cluster = self.cluster
        cluster.heal()
        cluster.links.loss = cluster.links.duplication = 0.0
        cluster.links.delay_jitter = 0.005
        for node in cluster.nodes.values():
            node.disk_delay = 0.002
            if node.replica is None:
                cluster.start(node.name)
            if node.frozen:
                cluster.thaw(node.name)
            cluster.resume_disk(node.name)

    def check_progress(self):
        cluster = self.cluster
        self.repair_all()
        end = cluster.now + RECOVERY_S
        command = b"after the faults"
        while cluster.now < end and not cluster.committed(command):
            cluster.propose(command)
            cluster.run(0.02)
        assert cluster.committed(command), f"no progress in {RECOVERY_S} s without faults"

    def check_group(self):
        """After the faults, the group becomes its target, and all its voters apply all committed entries."""
        cluster = self.cluster
        names = self.random.sample(list(cluster.nodes), 3)
        target = tuple(cluster.nodes[name].identity for name in names)
        cluster.set_target(names)
        assert cluster.run_until(lambda: cluster.invariants.group == target, RECOVERY_S), (
            "the target group was not reached"
        )
        cluster.run(0.5)
        assert cluster.leader().identity in target, "the leader is not in the group"
        for name in names:
            applied = cluster.nodes[name].applied_index
            assert applied == len(cluster.invariants.committed_entries), f"{name} lags without faults"


def failures(first, last):
    """The seeds that violated an invariant, with the violations."""
    found = []
    for seed in range(first, last):
        try:
            FaultInjectionRun(seed).run()
        except AssertionError as violation:
            found.append(f"seed {seed}: {violation}")
    return found


class SeededSearchTest(testtools.TestCase):
    def test_random_faults_preserve_the_invariants_for_every_seed(self):
        self.assertEqual([], failures(0, SEEDS))


if __name__ == "__main__":
    first, last = int(sys.argv[1]), int(sys.argv[2])
    violations = failures(first, last)
    print(*violations, sep="\n")
    print(f"{last - first} seeds, {len(violations)} failed")
    sys.exit(bool(violations))
